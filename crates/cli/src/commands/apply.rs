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

/// The maximum time until every given node has an accepted configuration in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(12);
/// The default of `--give-up-after`, the maximum time until a change is accepted or refused.
const DEFAULT_APPLY_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval at which the nodes' status is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    Command::new("apply")
        .about("Puts a configuration in force")
        .arg(file_arg())
        .arg(key_value_arg())
        .arg(
            nodes_arg()
                .help("A node's operators' port; waits until the revision is in force there"),
        )
        .args(tls_args())
        .arg(
            Arg::new("expect-revision")
                .long("expect-revision")
                .value_name("N")
                .help("Apply only if this revision is the newest one")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("give-up")
                .long("give-up-after")
                .value_name("TIME")
                .help("Maximum time to wait until the outcome is known [default: 60s]")
                .value_parser(value_parser!(humantime::Duration)),
        )
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .help("Print what would change without applying it")
                .action(ArgAction::SetTrue),
        )
}

/// Applies the configuration in a file.
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
        let summary = format!(
            "{}{} change(s) to revision {}; nothing was applied",
            changes::to_text(&changes),
            changes.len(),
            newest.revision
        );
        out.print(&value, &summary)?;
        return Ok(ExitStatus::Done);
    }

    let progress = progress_bar(out);
    let mut outcome_unknown = false;
    let mut on_progress = |step: ApplyProgress| {
        outcome_unknown = step == ApplyProgress::Settling;
        progress.set_message(match step {
            ApplyProgress::Retrying => "the key-value service does not respond; retrying",
            ApplyProgress::Settling => "the outcome of the write is unknown; checking it",
        });
        progress.tick();
    };
    let apply_timeout =
        args.get_one::<humantime::Duration>("give-up").map_or(DEFAULT_APPLY_TIMEOUT, |time| **time);
    let applied =
        timeout(apply_timeout, chain::extend(&*kv, expected, &text, &mut on_progress)).await;
    let revision = match applied {
        Ok(applied) => applied?,
        // A write whose reply is missing may still take effect after the timeout.
        Err(_) if outcome_unknown => return Err(CliError::OutcomeUnknown),
        Err(_) => return Err(CliError::KeyValueUnreachable),
    };
    let nodes = Nodes::optional(args)?;
    wait_until_in_force(&nodes, revision, &progress).await?;
    progress.finish_and_clear();
    let value = json!({ "revision": revision, "applied": true, "in_force_at": nodes.addresses });
    let summary = match nodes.addresses.len() {
        0 => format!("revision {revision} is accepted"),
        count => format!("revision {revision} is accepted and in force at {count} node(s)"),
    };
    out.print(&value, &summary)?;
    Ok(ExitStatus::Done)
}

async fn wait_until_in_force(
    nodes: &Nodes,
    revision: Revision,
    progress: &ProgressBar,
) -> Result<(), CliError> {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    let mut behind: Vec<SocketAddr> = nodes.addresses.clone();
    loop {
        let mut still_behind = Vec::new();
        for address in behind {
            let status: Result<NodeStatus, _> = nodes.call(address, Method::GET, "/status").await;
            if status.is_ok_and(|status| revision <= status.revision) {
                continue;
            }
            still_behind.push(address);
        }
        behind = still_behind;
        if behind.is_empty() {
            return Ok(());
        }
        if deadline <= Instant::now() {
            return Err(CliError::NotInForce { revision, behind });
        }
        progress.set_message(format!("accepted; waiting for {} node(s)", behind.len()));
        progress.tick();
        sleep(POLL_INTERVAL).await;
    }
}

fn progress_bar(out: &Output) -> ProgressBar {
    match out.format {
        Format::Human => ProgressBar::new_spinner(),
        Format::Json => ProgressBar::hidden(),
    }
}
