//! `bulrush apply`: puts a configuration in force.

use std::{net::SocketAddr, time::Duration};

use bulrushhall_core::Revision;
use bulrushhall_daemon::{config_chain::ApplyProgress, operators::NodeStatus};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hyper::Method;
use indicatif::ProgressBar;
use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    chain, changes,
    commands::{file_arg, read_deployment, read_file},
    error::CliError,
    exit::ExitStatus,
    output::{Format, Output},
    remote::{Nodes, key_value, key_value_arg, nodes_arg, tls_args},
};

/// The time within which every node is to have a new configuration in force.
const WAIT: Duration = Duration::from_secs(12);
/// How long the outcome is waited for unless the operator says otherwise.
const GIVE_UP: Duration = Duration::from_secs(60);
/// The pause between two looks at the nodes.
const PAUSE: Duration = Duration::from_millis(100);

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    Command::new("apply")
        .about("Puts a configuration in force")
        .arg(file_arg())
        .arg(key_value_arg())
        .arg(nodes_arg().help("A node's operators' port; apply waits until it has the revision"))
        .args(tls_args())
        .arg(
            Arg::new("expect-revision")
                .long("expect-revision")
                .value_name("N")
                .help("Change nothing unless this revision is the newest")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("give-up")
                .long("give-up-after")
                .value_name("TIME")
                .help("How long to wait until the outcome is certain [default: 60s]")
                .value_parser(value_parser!(humantime::Duration)),
        )
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .help("Tell what would change and change nothing")
                .action(ArgAction::SetTrue),
        )
}

/// Applies a file.
pub async fn run(args: &ArgMatches, out: &Output) -> Result<ExitStatus, CliError> {
    let (file, text) = read_file(args)?;
    let after = read_deployment(&file, &text)?;
    let expected = args.get_one::<u64>("expect-revision").map(|revision| Revision(*revision));
    let kv = key_value(args)?;
    if args.get_flag("dry-run") {
        let newest = chain::newest(&*kv).await?;
        if let Some(expected) = expected.filter(|expected| *expected != newest.revision) {
            return Err(CliError::Conflict { expected, found: newest.revision });
        }
        let before = read_deployment(&format!("revision {}", newest.revision), &newest.text)?;
        let changes = changes::changes(&before, &after);
        let value = json!({ "revision": newest.revision, "changes": changes, "applied": false });
        let told = format!(
            "{}{} change(s) to revision {}; nothing was applied",
            changes::to_text(&changes),
            changes.len(),
            newest.revision
        );
        out.print(&value, &told)?;
        return Ok(ExitStatus::Done);
    }

    let progress = progress(out);
    let mut unsettled = false;
    let mut report = |step: ApplyProgress| {
        unsettled = step == ApplyProgress::Settling;
        progress.set_message(match step {
            ApplyProgress::Retrying => "the key-value service does not answer; trying again",
            ApplyProgress::Settling => "the outcome is open; waiting until it is certain",
        });
        progress.tick();
    };
    let give_up = args.get_one::<humantime::Duration>("give-up").map_or(GIVE_UP, |time| **time);
    let extended = timeout(give_up, chain::extend(&*kv, expected, &text, &mut report)).await;
    let revision = match extended {
        Ok(extended) => extended?,
        // A write whose reply is missing may still take effect after the wait has ended.
        Err(_) if unsettled => return Err(CliError::Open),
        Err(_) => return Err(CliError::Unreached),
    };
    let nodes = Nodes::named(args)?;
    wait_for(&nodes, revision, &progress).await?;
    progress.finish_and_clear();
    let value = json!({ "revision": revision, "applied": true, "in_force_at": nodes.addresses });
    let told = match nodes.addresses.len() {
        0 => format!("revision {revision} is accepted"),
        count => format!("revision {revision} is accepted and in force at {count} node(s)"),
    };
    out.print(&value, &told)?;
    Ok(ExitStatus::Done)
}

async fn wait_for(
    nodes: &Nodes,
    revision: Revision,
    progress: &ProgressBar,
) -> Result<(), CliError> {
    let until = Instant::now() + WAIT;
    let mut behind: Vec<SocketAddr> = nodes.addresses.clone();
    loop {
        let mut still = Vec::new();
        for address in behind {
            let status: Result<NodeStatus, _> = nodes.ask(address, Method::GET, "/status").await;
            if status.is_ok_and(|status| revision <= status.revision) {
                continue;
            }
            still.push(address);
        }
        behind = still;
        if behind.is_empty() {
            return Ok(());
        }
        if until <= Instant::now() {
            return Err(CliError::Late { revision, behind });
        }
        progress.set_message(format!("accepted; {} node(s) to follow", behind.len()));
        progress.tick();
        sleep(PAUSE).await;
    }
}

fn progress(out: &Output) -> ProgressBar {
    match out.format {
        Format::Human => ProgressBar::new_spinner(),
        Format::Json => ProgressBar::hidden(),
    }
}
