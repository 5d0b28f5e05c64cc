//! The key-value service and the nodes' operators' ports, as commands reach them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bulrushhall_platform::{
    CallError, CallFault, KeyValue,
    clients::HttpKeyValue,
    http::{Endpoint, EndpointOptions, read_limited},
};
use bytes::Bytes;
use clap::{Arg, ArgAction, ArgMatches, value_parser};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;

use crate::error::CliError;

/// The longest time until a node answers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// The largest answer of a node, in bytes.
const ANSWER_LIMIT: usize = 4 << 20;

/// Returns the argument that names the key-value service.
pub fn key_value_arg() -> Arg {
    Arg::new("key-value")
        .long("key-value")
        .value_name("ADDRESS")
        .env("BULRUSH_KEY_VALUE")
        .help("The platform's key-value service")
        .value_parser(value_parser!(SocketAddr))
}

/// Returns the argument that names nodes.
pub fn nodes_arg() -> Arg {
    Arg::new("node")
        .long("node")
        .value_name("ADDRESS")
        .env("BULRUSH_NODES")
        .help("The operators' port of a node; may stand several times")
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
}

/// Returns the key-value service that the arguments name.
pub fn key_value(args: &ArgMatches) -> Result<Arc<dyn KeyValue>, CliError> {
    let address = args.get_one::<SocketAddr>("key-value").ok_or(CliError::NoKeyValue)?;
    Ok(Arc::new(HttpKeyValue::new(Endpoint::new(*address, EndpointOptions::default()))))
}

/// Returns the addresses of the nodes that the arguments name.
pub fn nodes(args: &ArgMatches) -> Result<Vec<SocketAddr>, CliError> {
    let nodes: Vec<SocketAddr> =
        args.get_many("node").map(|nodes| nodes.copied().collect()).unwrap_or_default();
    if nodes.is_empty() { Err(CliError::NoNodes) } else { Ok(nodes) }
}

/// Asks the operators' port of a node.
pub async fn ask<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
) -> Result<T, CallError> {
    let options = EndpointOptions { answer: ANSWER_TIMEOUT, ..EndpointOptions::default() };
    let malformed = || CallError::not_done(CallFault::Malformed);
    let req = Request::builder().method(method).uri(path).body(Full::new(Bytes::new()));
    let answer = Endpoint::new(address, options).send(req.map_err(|_| malformed())?).await?;
    let status = answer.status();
    if status != StatusCode::OK && status != StatusCode::ACCEPTED {
        return Err(CallError::not_done(CallFault::Refused { status: status.as_u16() }));
    }
    let body = read_limited(answer.into_body(), ANSWER_LIMIT, ANSWER_TIMEOUT).await;
    let body = body.map_err(|_| CallError::unknown(CallFault::Closed))?;
    serde_json::from_slice(&body).map_err(|_| malformed())
}
