//! `bulrush status`: how the nodes are.

use std::net::SocketAddr;

use bulrushhall_core::NodeName;
use bulrushhall_daemon::operators::NodeStatus;
use bulrushhall_external::KeyValue;
use clap::{ArgMatches, Command};
use hyper::Method;
use serde::Serialize;

use crate::{
    error::CliError,
    exit::ExitStatus,
    output::{Output, table},
    remote::{Nodes, key_value, key_value_arg, nodes_arg, tls_args},
};

/// The prefix of the keys under which duties are held.
const DUTIES: &str = "duty/";

#[derive(Serialize)]
struct Report {
    nodes: Vec<Asked>,
    duties: Vec<DutyStatus>,
    duties_error: Option<String>,
}

#[derive(Serialize)]
struct Asked {
    address: SocketAddr,
    status: Option<NodeStatus>,
    error: Option<String>,
}

#[derive(Serialize)]
struct DutyStatus {
    duty: String,
    incarnation: String,
    node: Option<NodeName>,
}

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    Command::new("status")
        .about("Shows how the nodes are and, with --key-value, who holds which duty")
        .arg(nodes_arg())
        .arg(key_value_arg())
        .args(tls_args())
}

/// Asks every node and prints what they say; a node that does not answer is part of the result.
pub async fn run(args: &ArgMatches, out: &Output) -> Result<ExitStatus, CliError> {
    let nodes = Nodes::required(args)?;
    let mut asked = Vec::new();
    for &address in &nodes.addresses {
        let answer = nodes.ask::<NodeStatus>(address, Method::GET, "/status").await;
        let error = answer.as_ref().err().map(ToString::to_string);
        asked.push(Asked { address, status: answer.ok(), error });
    }
    let mut report = Report { nodes: asked, duties: Vec::new(), duties_error: None };
    if let Ok(kv) = key_value(args) {
        // The nodes are shown also while the service is away; this is when they are looked at.
        match duties(&*kv, &report.nodes).await {
            Ok(duties) => report.duties = duties,
            Err(error) => report.duties_error = Some(error.to_string()),
        }
    }
    let reached = report.nodes.iter().any(|asked| asked.status.is_some());
    out.print(&report, &to_text(&report))?;
    Ok(if reached { ExitStatus::Done } else { ExitStatus::Unreachable })
}

async fn duties(kv: &dyn KeyValue, nodes: &[Asked]) -> Result<Vec<DutyStatus>, CliError> {
    let mut duties = Vec::new();
    for change in kv.list(DUTIES).await.map_err(CliError::KeyValue)?.changes {
        let found = kv.get(&change.key).await.map_err(CliError::KeyValue)?;
        if found.value.is_empty() {
            continue;
        }
        let incarnation = String::from_utf8_lossy(&found.value).into_owned();
        let mut statuses = nodes.iter().filter_map(|asked| asked.status.as_ref());
        let holder = statuses.find(|status| status.incarnation == incarnation);
        let node = holder.map(|status| status.node.clone());
        let duty = change.key.trim_start_matches(DUTIES).to_owned();
        duties.push(DutyStatus { duty, incarnation, node });
    }
    Ok(duties)
}

fn to_text(report: &Report) -> String {
    let rows = report.nodes.iter().map(|asked| match &asked.status {
        Some(status) => node_row(asked.address, status),
        None => vec!["?".into(), asked.address.to_string(), "unreachable".into()],
    });
    let header =
        ["NODE", "ADDRESS", "STATE", "ZONE", "REVISION", "MEMBERS", "UNFINISHED", "RECOMPUTED"];
    let mut tables = vec![table(&header, rows)];
    let statuses = report.nodes.iter().filter_map(|asked| asked.status.as_ref());
    if let Some(status) = statuses.clone().max_by_key(|status| status.revision) {
        tables.push(classes(status));
        tables.push(backends(status));
    }
    tables.push(queues(statuses));
    if !report.duties.is_empty() {
        tables.push(table(&["DUTY", "HOLDER"], report.duties.iter().map(duty_row)));
    }
    if let Some(error) = &report.duties_error {
        tables.push(format!("duties: {error}"));
    }
    tables.join("\n\n")
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

fn classes(status: &NodeStatus) -> String {
    let rows = status.classes.iter().map(|class| {
        vec![class.name.to_string(), class.priority.to_string(), class.deadline.clone()]
    });
    table(&["CLASS", "PRIORITY", "DEADLINE"], rows)
}

fn backends(status: &NodeStatus) -> String {
    let rows = status.backends.iter().map(|backend| {
        vec![backend.service.to_string(), backend.vm.to_string(), backend.zone.to_string()]
    });
    table(&["SERVICE", "VM", "ZONE"], rows)
}

fn queues<'a>(statuses: impl Iterator<Item = &'a NodeStatus>) -> String {
    let mut rows = Vec::new();
    for status in statuses {
        for queue in &status.queues {
            rows.push(vec![
                status.node.to_string(),
                queue.service.to_string(),
                queue.waiting.to_string(),
                queue.running.to_string(),
            ]);
        }
    }
    table(&["NODE", "SERVICE", "WAITING", "RUNNING"], rows)
}

fn duty_row(duty: &DutyStatus) -> Vec<String> {
    let holder = duty.node.as_ref().map_or_else(|| duty.incarnation.clone(), NodeName::to_string);
    vec![duty.duty.clone(), holder]
}
