//! `bulrush status`: shows the state of the nodes and the holders of duties.

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

/// The prefix of the keys of duty leases in the key-value service.
const DUTY_KEY_PREFIX: &str = "duty/";

#[derive(Serialize)]
struct StatusReport {
    nodes: Vec<NodeReport>,
    duties: Vec<DutyStatus>,
    duties_error: Option<String>,
}

#[derive(Serialize)]
struct NodeReport {
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
        .about("Shows the state of the nodes and, with --key-value, the holder of each duty")
        .arg(nodes_arg())
        .arg(key_value_arg())
        .args(tls_args())
}

/// Queries every given node and prints the results; an unreachable node is listed with its error.
pub async fn run(args: &ArgMatches, out: &Output) -> Result<ExitStatus, CliError> {
    let nodes = Nodes::required(args)?;
    let mut reports = Vec::new();
    for &address in &nodes.addresses {
        let result = nodes.call::<NodeStatus>(address, Method::GET, "/status").await;
        let error = result.as_ref().err().map(ToString::to_string);
        reports.push(NodeReport { address, status: result.ok(), error });
    }
    let mut report = StatusReport { nodes: reports, duties: Vec::new(), duties_error: None };
    if let Ok(kv) = key_value(args) {
        // An unavailable key-value service must not hide the nodes: operators run this command
        // during its outages.
        match read_duties(&*kv, &report.nodes).await {
            Ok(duties) => report.duties = duties,
            Err(error) => report.duties_error = Some(error.to_string()),
        }
    }
    let any_reachable = report.nodes.iter().any(|node| node.status.is_some());
    out.print(&report, &to_text(&report))?;
    Ok(if any_reachable { ExitStatus::Done } else { ExitStatus::Unreachable })
}

async fn read_duties(kv: &dyn KeyValue, nodes: &[NodeReport]) -> Result<Vec<DutyStatus>, CliError> {
    let mut duties = Vec::new();
    for change in kv.list(DUTY_KEY_PREFIX).await.map_err(CliError::KeyValue)?.changes {
        let entry = kv.get(&change.key).await.map_err(CliError::KeyValue)?;
        if entry.value.is_empty() {
            continue;
        }
        let incarnation = String::from_utf8_lossy(&entry.value).into_owned();
        let mut statuses = nodes.iter().filter_map(|node| node.status.as_ref());
        let holder = statuses.find(|status| status.incarnation == incarnation);
        let node = holder.map(|status| status.node.clone());
        let duty = change.key.trim_start_matches(DUTY_KEY_PREFIX).to_owned();
        duties.push(DutyStatus { duty, incarnation, node });
    }
    Ok(duties)
}

fn to_text(report: &StatusReport) -> String {
    let rows = report.nodes.iter().map(|node| match &node.status {
        Some(status) => node_row(node.address, status),
        None => vec!["?".into(), node.address.to_string(), "unreachable".into()],
    });
    let header =
        ["NODE", "ADDRESS", "STATE", "ZONE", "REVISION", "MEMBERS", "UNFINISHED", "RECOMPUTED"];
    let mut tables = vec![table(&header, rows)];
    let statuses = report.nodes.iter().filter_map(|node| node.status.as_ref());
    if let Some(status) = statuses.clone().max_by_key(|status| status.revision) {
        tables.push(class_table(status));
        tables.push(backend_table(status));
    }
    tables.push(queue_table(statuses));
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

fn class_table(status: &NodeStatus) -> String {
    let rows = status.classes.iter().map(|class| {
        vec![class.name.to_string(), class.priority.to_string(), class.deadline.clone()]
    });
    table(&["CLASS", "PRIORITY", "DEADLINE"], rows)
}

fn backend_table(status: &NodeStatus) -> String {
    let rows = status.backends.iter().map(|backend| {
        vec![backend.service.to_string(), backend.vm.to_string(), backend.zone.to_string()]
    });
    table(&["SERVICE", "VM", "ZONE"], rows)
}

fn queue_table<'a>(statuses: impl Iterator<Item = &'a NodeStatus>) -> String {
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
