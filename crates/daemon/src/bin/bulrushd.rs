//! The daemon that runs on each entry VM.

use std::{io::Write, path::PathBuf, process::ExitCode};

use bulrushhall_daemon::{Node, Settings, errors::NodeError};
use clap::{Arg, Command, value_parser};
use error_stack::{Report, ResultExt};
use tokio::signal::unix::{SignalKind, signal};

#[tokio::main]
async fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).init();
    let matches = Command::new("bulrushd")
        .about("Serves callers from an entry VM")
        .version(clap::crate_version!())
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("The node's settings, in INI")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else { return ExitCode::from(2) };
    match run(path).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            tracing::error!("{report:?}");
            ExitCode::from(2)
        }
    }
}

async fn run(path: &PathBuf) -> Result<(), Report<NodeError>> {
    let text = std::fs::read_to_string(path).change_context(NodeError::Settings)?;
    let settings = Settings::parse(&path.display().to_string(), &text);
    let settings = settings.change_context(NodeError::Settings)?;
    let mut term = signal(SignalKind::terminate()).change_context(NodeError::Start)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(NodeError::Start)?;
    let node = Node::start(settings).await?;
    announce(&node);
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stop().await;
    Ok(())
}

// Whoever started the process learns from this line which ports were opened.
fn announce(node: &Node) {
    let ready = serde_json::json!({
        "callers": node.callers(),
        "operators": node.operators(),
        "peers": node.context().settings.node.peers,
    });
    let _ = writeln!(std::io::stdout(), "ready {ready}");
}
