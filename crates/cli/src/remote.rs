//! Clients of the key-value service and of the nodes' operators' ports, and their arguments.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use bulrushhall_external::{
    CallError, CallFault, KeyValue,
    clients::HttpKeyValue,
    http::{Endpoint, EndpointOptions, Tls, TlsFiles, read_limited},
};
use bytes::Bytes;
use clap::{Arg, ArgAction, ArgMatches, value_parser};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;

use crate::error::CliError;

/// The timeout for a node's response headers, and again for its body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum size of a node's response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Returns the argument for the address of the key-value service.
pub fn key_value_arg() -> Arg {
    Arg::new("key-value")
        .long("key-value")
        .value_name("ADDRESS")
        .env("BULRUSH_KEY_VALUE")
        .help("The address of the platform's key-value service")
        .value_parser(value_parser!(SocketAddr))
}

/// Returns the argument for the addresses of nodes.
pub fn nodes_arg() -> Arg {
    Arg::new("node")
        .long("node")
        .value_name("ADDRESS")
        .env("BULRUSH_NODES")
        .help("The operators' port of a node; may be repeated")
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
}

/// Returns a client of the key-value service that the arguments name.
pub fn key_value(args: &ArgMatches) -> Result<Arc<dyn KeyValue>, CliError> {
    let address = args.get_one::<SocketAddr>("key-value").ok_or(CliError::NoKeyValueAddress)?;
    Ok(Arc::new(HttpKeyValue::new(Endpoint::new(*address, EndpointOptions::default()))))
}

/// Returns the arguments for the TLS files.
pub fn tls_args() -> [Arg; 3] {
    let file = |name: &'static str, variable: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("FILE")
            .env(variable)
            .help(help)
            .value_parser(value_parser!(PathBuf))
    };
    [
        file("certificate", "BULRUSH_CERTIFICATE", "The operator's certificate, in PEM format")
            .requires("key")
            .requires("authority"),
        file("key", "BULRUSH_KEY", "The private key of the operator's certificate, in PEM format")
            .requires("certificate"),
        file("authority", "BULRUSH_AUTHORITY", "The nodes' CA certificate, in PEM format")
            .requires("certificate"),
    ]
}

/// `Nodes` are the operators' ports that the arguments name.
pub struct Nodes {
    /// The addresses.
    pub addresses: Vec<SocketAddr>,
    tls: Option<Arc<Tls>>,
}

impl Nodes {
    /// Returns the nodes that the arguments name, possibly none.
    pub fn optional(args: &ArgMatches) -> Result<Nodes, CliError> {
        let addresses = args.get_many("node").map(|nodes| nodes.copied().collect());
        let file = |name: &str| args.get_one::<PathBuf>(name).cloned();
        let files = (file("certificate"), file("key"), file("authority"));
        let tls = match files {
            (Some(certificate), Some(key), Some(authority)) => {
                let files = TlsFiles { certificate, key, authority };
                Some(Arc::new(Tls::load(files).map_err(CliError::Tls)?))
            }
            _ => None,
        };
        Ok(Nodes { addresses: addresses.unwrap_or_default(), tls })
    }

    /// Returns the nodes that the arguments name, or an error if there are none.
    pub fn required(args: &ArgMatches) -> Result<Nodes, CliError> {
        let nodes = Nodes::optional(args)?;
        if nodes.addresses.is_empty() { Err(CliError::NoNodeAddress) } else { Ok(nodes) }
    }

    /// Calls the operators' port of a node and parses the JSON response.
    pub async fn call<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
    ) -> Result<T, CallError> {
        let tls = self.tls.clone();
        call(address, tls, method, path).await
    }
}

async fn call<T: DeserializeOwned>(
    address: SocketAddr,
    tls: Option<Arc<Tls>>,
    method: Method,
    path: &str,
) -> Result<T, CallError> {
    let options =
        EndpointOptions { response_timeout: RESPONSE_TIMEOUT, tls, ..EndpointOptions::default() };
    let malformed = || CallError::not_done(CallFault::Malformed);
    let req = Request::builder().method(method).uri(path).body(Full::new(Bytes::new()));
    let response = Endpoint::new(address, options).send(req.map_err(|_| malformed())?).await?;
    let status = response.status();
    if status != StatusCode::OK && status != StatusCode::ACCEPTED {
        return Err(CallError::not_done(CallFault::Refused { status: status.as_u16() }));
    }
    let body = read_limited(response.into_body(), MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT).await;
    let body = body.map_err(|_| CallError::unknown(CallFault::Closed))?;
    serde_json::from_slice(&body).map_err(|_| malformed())
}
