//! `bulrush requests`: finds the nodes that know a request.

use bulrushhall_core::RequestId;
use bulrushhall_daemon::operators::RequestStatus;
use bulrushhall_external::{CallError, CallFault};
use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::Method;

use crate::{
    error::CliError,
    exit::ExitStatus,
    output::{Output, table},
    remote::{Nodes, nodes_arg, tls_args},
};

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    Command::new("requests")
        .about("Finds a request: the nodes that know it and its state at each")
        .arg(
            Arg::new("id")
                .value_name("ID")
                .help("The request's id, from the x-request-id header or the response body")
                .required(true)
                .value_parser(value_parser!(RequestId)),
        )
        .arg(nodes_arg())
        .args(tls_args())
}

/// Queries every given node for the request.
pub async fn run(args: &ArgMatches, out: &Output) -> Result<ExitStatus, CliError> {
    let Some(id) = args.get_one::<RequestId>("id") else { return Ok(ExitStatus::Usage) };
    let mut found: Vec<RequestStatus> = Vec::new();
    let mut last_error = None;
    let nodes = Nodes::required(args)?;
    for &address in &nodes.addresses {
        match nodes.call(address, Method::GET, &format!("/requests/{id}")).await {
            Ok(status) => found.push(status),
            Err(CallError { fault: CallFault::Refused { status: 404 }, .. }) => continue,
            Err(cause) => last_error = Some(CliError::Node { address, cause }),
        }
    }
    if found.is_empty() {
        // The request may be known only by a node that could not be reached.
        return Err(last_error.unwrap_or_else(|| CliError::RequestNotFound(id.to_string())));
    }
    let rows = found.iter().map(|status| {
        vec![
            status.node.to_string(),
            status.role().to_owned(),
            status.team.to_string(),
            status.model.to_string(),
            status.class.to_string(),
            status.state.as_str().to_owned(),
            status.tokens.to_string(),
        ]
    });
    let header = ["NODE", "ROLE", "TEAM", "MODEL", "CLASS", "STATE", "TOKENS"];
    let text = table(&header, rows);
    out.print(&found, &text)?;
    Ok(ExitStatus::Done)
}
