//! `bulrush parts`: shows the prompt parts and requests that are refused, and lifts such a block.

use std::net::SocketAddr;

use bulrushhall_coord::crashes::{BlockStatus, PartIds};
use bulrushhall_external::{CallError, CallFault};
use clap::{Arg, ArgMatches, Command, value_parser};
use hyper::Method;

use crate::{
    error::CliError,
    exit::ExitStatus,
    output::{Output, table},
    remote::{Nodes, nodes_arg, tls_args},
};

/// The fault of a call about a block that is not in force.
const NOT_FOUND: CallFault = CallFault::Refused { status: 404 };

/// Returns the description of the command's arguments.
pub fn command() -> Command {
    Command::new("parts")
        .about("Shows the prompt parts and the requests that are refused because backend servers crash under them")
        .arg(
            Arg::new("lift")
                .long("lift")
                .value_name("PARTS")
                .help("Lifts the block of these parts, or of the request with this digest, as they are shown")
                .value_parser(value_parser!(PartIds)),
        )
        .arg(nodes_arg().help("The peers' port of a node that serves routes; may be repeated"))
        .args(tls_args())
}

/// Asks the first given node that responds; all nodes know the same blocks.
pub async fn run(args: &ArgMatches, out: &Output) -> Result<ExitStatus, CliError> {
    let nodes = Nodes::required(args)?;
    let (method, path) = match args.get_one::<PartIds>("lift") {
        Some(parts) => (Method::POST, format!("/blocks/lift?parts={parts}")),
        None => (Method::GET, "/blocks".to_owned()),
    };
    let mut last_error = CliError::NoNodeAddress;
    for &address in &nodes.addresses {
        match nodes.call::<Vec<BlockStatus>>(address, method.clone(), &path).await {
            Ok(blocks) => {
                out.print(&blocks, &to_text(&blocks))?;
                return Ok(ExitStatus::Done);
            }
            Err(cause) => last_error = to_error(args, address, cause),
        }
    }
    Err(last_error)
}

// A node that serves no routes does not know the path, so a list that is not found is no missing block.
fn to_error(args: &ArgMatches, address: SocketAddr, cause: CallError) -> CliError {
    match args.get_one::<PartIds>("lift") {
        Some(parts) if cause.fault == NOT_FOUND => CliError::BlockNotFound(parts.to_string()),
        _ => CliError::Node { address, cause },
    }
}

fn to_text(blocks: &[BlockStatus]) -> String {
    let mut rows = Vec::new();
    for block in blocks {
        let BlockStatus { parts, kind, confidence, crashes, probes, since_unix_ms } = block;
        let since = since_unix_ms / 1_000;
        let kind = kind.as_str().to_owned();
        rows.push(vec![
            parts.clone(),
            kind,
            confidence.as_str().to_owned(),
            crashes.to_string(),
            probes.to_string(),
            since.to_string(),
        ]);
    }
    table(&["PARTS", "KIND", "CONFIDENCE", "CRASHES", "PROBES", "SINCE"], rows)
}
