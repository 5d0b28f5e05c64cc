//! `bulrush status`: shows the state of the nodes and the holders of duties.

use std::{net::SocketAddr, sync::Arc};

use bulrushhall_core::NodeName;
use bulrushhall_daemon::operators::NodeStatus;
use bulrushhall_external::{CallError, CallFault, KeyValue};
use bulrushhall_gateway::status::{MergedStatus, StatusMerger, StatusTable, status_tables};
use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::Method;
use serde::Serialize;

use crate::{
    error::CliError,
    exit::ExitStatus,
    output::{Output, table},
    remote::{Nodes, key_value, key_value_arg, nodes_arg, tls_args},
};

/// The fault of a call to a node that does not report its status, as one of an earlier version that serves routes.
const NOT_FOUND: CallFault = CallFault::Refused { status: 404 };
/// The number of nodes that are called at the same time. At 860 servers the answers of so many nodes take some megabytes.
const CALLS_AT_ONCE: usize = 32;
/// What is shown where nothing is known.
const UNKNOWN: &str = "unknown";
/// The prefix of the keys of duty leases in the key-value service.
const DUTY_KEY_PREFIX: &str = "duty/";

#[derive(Serialize)]
struct StatusReport {
    nodes: Vec<NodeReport>,
    duties: Vec<DutyStatus>,
    duties_error: Option<String>,
    /// What the nodes that serve routes report, added up; none if no node serves routes.
    routes: Option<MergedStatus>,
}

#[derive(Serialize)]
struct NodeReport {
    address: SocketAddr,
    status: Option<NodeStatus>,
    error: Option<String>,
    /// The number of other nodes that it considers alive; the list in `status` may be shortened.
    members: Option<usize>,
    #[serde(skip)]
    is_unknown: bool,
}

impl NodeReport {
    fn state(&self) -> &'static str {
        if self.is_unknown { "not reported" } else { "unreachable" }
    }
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
        .arg(
            Arg::new("top")
                .long("top")
                .value_name("N")
                .help("The maximum number of queues, teams and servers that are shown, each")
                .value_parser(value_parser!(u32).range(1..))
                .default_value("10"),
        )
        .arg(nodes_arg().help(
            "The operators' port of a node, or the peers' port of one that serves routes; may be repeated",
        ))
        .arg(key_value_arg())
        .args(tls_args())
}

/// Queries every given node and prints the results; an unreachable node is listed with its error.
pub async fn run(args: &ArgMatches, out: &Output) -> Result<ExitStatus, CliError> {
    let nodes = Arc::new(Nodes::required(args)?);
    let top = args.get_one::<u32>("top").map_or(usize::MAX, |top| *top as usize);
    let mut merger = StatusMerger::default();
    let mut has_routes = false;
    let mut reports = Vec::new();
    for addresses in nodes.addresses.chunks(CALLS_AT_ONCE) {
        for mut report in call_all(&nodes, addresses).await {
            match &mut report.status {
                Some(status) => {
                    if status.routes.is_some() {
                        has_routes = true;
                        // Hundreds of nodes that list each other would make the output very long.
                        status.members.truncate(top);
                    }
                    merger.add(&status.node, status.routes.take());
                }
                None if report.is_unknown => merger.add(report.address, None),
                None => merger.add_unanswered(report.address),
            }
            reports.push(report);
        }
    }
    let routes = has_routes.then(|| merger.top(top));
    let mut report =
        StatusReport { nodes: reports, duties: Vec::new(), duties_error: None, routes };
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

// Calls nodes at the same time; returns the reports in the order of the addresses.
async fn call_all(nodes: &Arc<Nodes>, addresses: &[SocketAddr]) -> Vec<NodeReport> {
    let mut calls = Vec::new();
    for &address in addresses {
        let nodes = Arc::clone(nodes);
        calls.push(tokio::spawn(async move {
            nodes.call::<NodeStatus>(address, Method::GET, "/status").await
        }));
    }
    let mut reports = Vec::new();
    for (call, &address) in calls.into_iter().zip(addresses) {
        let result = call.await.unwrap_or(Err(CallError::unknown(CallFault::Closed)));
        let error = result.as_ref().err().map(ToString::to_string);
        let is_unknown = result.as_ref().is_err_and(|error| error.fault == NOT_FOUND);
        let status = result.ok();
        let members = status.as_ref().map(|status| status.members.len());
        reports.push(NodeReport { address, status, error, members, is_unknown });
    }
    reports
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
        Some(status) => node_row(node, status),
        None => vec!["?".into(), node.address.to_string(), node.state().into()],
    });
    let header =
        ["NODE", "ADDRESS", "STATE", "ZONE", "REVISION", "MEMBERS", "UNFINISHED", "RECOMPUTED"];
    let mut tables = vec![table(&header, rows)];
    let statuses = report.nodes.iter().filter_map(|node| node.status.as_ref());
    // Nodes that serve routes have neither classes nor queues of this kind.
    let are_all_routes = report
        .routes
        .as_ref()
        .is_some_and(|routes| routes.nodes_without.is_empty() && !routes.nodes.is_empty());
    if !are_all_routes {
        if let Some(status) = statuses.clone().max_by_key(|status| status.revision) {
            tables.push(class_table(status));
            tables.push(backend_table(status));
        }
        tables.push(queue_table(statuses));
    }
    for StatusTable { header, rows, note } in report.routes.iter().flat_map(status_tables) {
        tables.push(table(&header, rows));
        tables.extend(note);
    }
    if !report.duties.is_empty() {
        tables.push(table(&["DUTY", "HOLDER"], report.duties.iter().map(duty_row)));
    }
    if let Some(error) = &report.duties_error {
        tables.push(format!("duties: {error}"));
    }
    tables.join("\n\n")
}

fn node_row(report: &NodeReport, status: &NodeStatus) -> Vec<String> {
    vec![
        status.node.to_string(),
        report.address.to_string(),
        status.state().to_owned(),
        status.zone.to_string(),
        status.revision.to_string(),
        report.members.map_or(UNKNOWN.into(), |members| members.to_string()),
        status.unfinished.to_string(),
        status.recomputed_tokens.map_or(UNKNOWN.into(), |tokens| tokens.to_string()),
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
