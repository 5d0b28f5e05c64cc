//! The daemon that runs on each entry VM.

use std::{
    io::Write,
    path::{Path, PathBuf},
    process::ExitCode,
};

use bulrushhall_daemon::{
    Node, Settings, errors::NodeError, routes, settings::LogFormat, telemetry::Telemetry,
};
use clap::{Arg, ArgMatches, Command, value_parser};
use error_stack::{Report, ResultExt};
use tokio::{
    runtime,
    signal::unix::{SignalKind, signal},
};

fn main() -> ExitCode {
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
        .arg(
            Arg::new("log-format")
                .long("log-format")
                .value_name("FORMAT")
                .help("The form of log lines; overrides the settings")
                .value_parser(["human", "json"]),
        )
        .arg(
            Arg::new("log-filter")
                .long("log-filter")
                .value_name("FILTER")
                .env("BULRUSHD_LOG")
                .help("Which events are logged; overrides the settings"),
        )
        .get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else { return ExitCode::from(2) };
    match start(path, &matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            // Logging may not be set up yet, so the error is written to standard error directly.
            let _ = writeln!(std::io::stderr(), "{report:?}");
            ExitCode::from(2)
        }
    }
}

fn start(path: &Path, matches: &ArgMatches) -> Result<(), Report<NodeError>> {
    let text = std::fs::read_to_string(path).change_context(NodeError::Settings)?;
    if bulrushhall_gateway::Settings::is_gateway_file(&text) {
        // A node that serves routes gets only a fraction of a core, so more threads gain nothing.
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        return runtime.change_context(NodeError::Start)?.block_on(routes::run(path, &text));
    }
    let runtime = runtime::Builder::new_multi_thread().enable_all().build();
    runtime.change_context(NodeError::Start)?.block_on(run(path, &text, matches))
}

async fn run(path: &Path, text: &str, matches: &ArgMatches) -> Result<(), Report<NodeError>> {
    let settings = Settings::parse(&path.display().to_string(), text);
    let mut settings = settings.change_context(NodeError::Settings)?;
    match matches.get_one::<String>("log-format").map(String::as_str) {
        Some("json") => settings.log.format = LogFormat::Json,
        Some(_) => settings.log.format = LogFormat::Human,
        None => {}
    }
    if let Some(filter) = matches.get_one::<String>("log-filter") {
        settings.log.filter.clone_from(filter);
    }
    let telemetry = Telemetry::start(&settings.log, &settings.trace)?;
    let mut term = signal(SignalKind::terminate()).change_context(NodeError::Start)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(NodeError::Start)?;
    let node = Node::start(settings).await?;
    print_ready_line(&node);
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stop().await;
    telemetry.stop().await;
    Ok(())
}

// The parent process reads the bound ports from this line.
fn print_ready_line(node: &Node) {
    let ready = serde_json::json!({
        "callers": node.callers(),
        "operators": node.operators(),
        "peers": node.context().settings.node.peers,
    });
    let _ = writeln!(std::io::stdout(), "ready {ready}");
}
