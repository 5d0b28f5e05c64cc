//! `bulrush status`: how the nodes are.

use std::net::SocketAddr;

use bulrushhall_daemon::operators::NodeStatus;
use clap::{ArgMatches, Command};
use hyper::Method;
use serde::Serialize;

use crate::{
    error::CliError,
    exit::ExitStatus,
    output::{Output, table},
    remote::{ask, nodes, nodes_arg},
};

#[derive(Serialize)]
struct Asked {
    address: SocketAddr,
    status: Option<NodeStatus>,
    error: Option<String>,
}

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    Command::new("status").about("Shows how the nodes are").arg(nodes_arg())
}

/// Asks every node and prints what they say; a node that does not answer is part of the result.
pub async fn run(args: &ArgMatches, out: &Output) -> Result<ExitStatus, CliError> {
    let mut all = Vec::new();
    for address in nodes(args)? {
        let answer = ask::<NodeStatus>(address, Method::GET, "/status").await;
        let error = answer.as_ref().err().map(ToString::to_string);
        all.push(Asked { address, status: answer.ok(), error });
    }
    let reached = all.iter().any(|asked| asked.status.is_some());
    out.print(&all, &to_text(&all))?;
    Ok(if reached { ExitStatus::Done } else { ExitStatus::Unreachable })
}

fn to_text(all: &[Asked]) -> String {
    let rows = all.iter().map(|asked| match &asked.status {
        Some(status) => node_row(asked.address, status),
        None => vec!["?".into(), asked.address.to_string(), "unreachable".into()],
    });
    let header =
        ["NODE", "ADDRESS", "STATE", "ZONE", "REVISION", "MEMBERS", "RUNNING", "RECOMPUTED"];
    let mut text = table(&header, rows);
    let Some(status) = all.iter().filter_map(|asked| asked.status.as_ref()).max_by_key(by_revision)
    else {
        return text;
    };
    let classes = status.classes.iter().map(|class| {
        vec![class.name.to_string(), class.priority.to_string(), class.deadline.clone()]
    });
    text.push_str("\n\n");
    text.push_str(&table(&["CLASS", "PRIORITY", "DEADLINE"], classes));
    let backends = status.backends.iter().map(|backend| {
        vec![backend.service.to_string(), backend.vm.to_string(), backend.zone.to_string()]
    });
    text.push_str("\n\n");
    text.push_str(&table(&["SERVICE", "VM", "ZONE"], backends));
    text
}

fn by_revision(status: &&NodeStatus) -> u64 {
    status.revision.0
}

fn node_row(address: SocketAddr, status: &NodeStatus) -> Vec<String> {
    vec![
        status.node.to_string(),
        address.to_string(),
        status.state().to_owned(),
        status.zone.to_string(),
        status.revision.to_string(),
        status.members.len().to_string(),
        status.unfinished.to_string(),
        status.recomputed_tokens.to_string(),
    ]
}
