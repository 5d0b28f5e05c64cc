//! `bulrush drain`: makes a node finish its requests and accept no new ones.

use bulrushhall_core::NodeName;
use bulrushhall_daemon::operators::NodeStatus;
use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::Method;
use serde_json::json;

use crate::{
    error::CliError,
    exit::ExitStatus,
    output::Output,
    remote::{Nodes, nodes_arg, tls_args},
};

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    Command::new("drain")
        .about("Drains a node: it accepts no new requests and finishes those it has")
        .arg(
            Arg::new("name")
                .value_name("NODE")
                .help("The name of the node")
                .required(true)
                .value_parser(value_parser!(NodeName)),
        )
        .arg(nodes_arg())
        .args(tls_args())
}

/// Finds the node by its name and starts draining it.
pub async fn run(args: &ArgMatches, out: &Output) -> Result<ExitStatus, CliError> {
    let Some(name) = args.get_one::<NodeName>("name") else { return Ok(ExitStatus::Usage) };
    let nodes = Nodes::required(args)?;
    for &address in &nodes.addresses {
        let status: Result<NodeStatus, _> = nodes.call(address, Method::GET, "/status").await;
        if !status.is_ok_and(|status| status.node == *name) {
            continue;
        }
        let status: NodeStatus = nodes
            .call(address, Method::POST, "/drain")
            .await
            .map_err(|cause| CliError::Node { address, cause })?;
        let value =
            json!({ "node": name, "leaving": status.leaving, "unfinished": status.unfinished });
        let summary = format!("{name} is draining; {} request(s) unfinished", status.unfinished);
        out.print(&value, &summary)?;
        return Ok(ExitStatus::Done);
    }
    Err(CliError::NodeNotFound(name.to_string()))
}
