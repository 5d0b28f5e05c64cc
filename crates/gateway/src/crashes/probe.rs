//! Requests that a backend server does not run, whose responses show that it lives.

use std::time::Duration;

use bulrushhall_core::Stamp;
use bulrushhall_external::http::{SendFailure, read_limited};
use http_body_util::Full;
use hyper::{HeaderMap, Request, header::HOST};
use tokio::time::timeout;

use crate::{
    adapter::SendHead,
    backends::{Connection, ListenerState, OpenError, Pool, idle_time, listener_state},
    clock,
    gateway::Gateway,
};

/// The timeout for a response.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// The largest body of a response after which the connection is kept, in bytes.
const MAX_BODY_BYTES: usize = 4_096;

/// A `ProbeResult` is what a probe of a backend server found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server responded.
    Responded,
    /// Another server responded at its address.
    OtherBackend,
    /// A connection was opened, and nothing responded in time.
    Silent,
    /// The connection was closed without a response.
    Closed,
    /// Nothing listens at its address.
    Refused,
    /// It can't be reached.
    Unreachable,
}

impl ProbeResult {
    /// Returns its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            ProbeResult::Responded => "responded",
            ProbeResult::OtherBackend => "other_backend",
            ProbeResult::Silent => "silent",
            ProbeResult::Closed => "closed",
            ProbeResult::Refused => "refused",
            ProbeResult::Unreachable => "unreachable",
        }
    }
}

/// Asks a server over its spare connection, or over a new one that becomes the spare one, unless it is known to have
/// responded after a time.
pub async fn probe(gateway: &Gateway, name: &str, pool: &Pool, after: Stamp) -> ProbeResult {
    let witnesses = pool.witnesses();
    let mut spare = witnesses.spare.lock().await;
    if after < witnesses.lived_at() {
        return ProbeResult::Responded;
    }
    if let Some(connection) = spare.as_mut().filter(|connection| connection.is_ready()) {
        let result = send(gateway, name, pool, connection).await;
        if matches!(result, ProbeResult::Responded | ProbeResult::Silent) {
            return result;
        }
    }
    let (opened, result) = open(gateway, name, pool).await;
    witnesses.set_spare(&mut spare, opened);
    result
}

/// Replaces the spare connection to a server by a new one.
pub async fn renew_spare(gateway: &Gateway, name: &str, pool: &Pool) {
    let (opened, _) = open(gateway, name, pool).await;
    let Some(opened) = opened else { return };
    // The server may close a connection after its response.
    let opened = if opened.is_closed() { pool.open(u32::MAX).await.ok() } else { Some(opened) };
    if let Some(opened) = opened {
        let witnesses = pool.witnesses();
        let mut spare = witnesses.spare.lock().await;
        witnesses.set_spare(&mut spare, Some(opened));
    }
}

async fn open(gateway: &Gateway, name: &str, pool: &Pool) -> (Option<Connection>, ProbeResult) {
    let mut connection = match pool.open(u32::MAX).await {
        Ok(connection) => connection,
        Err(OpenError::Full | OpenError::Unreachable) => {
            return (None, without_response(pool, ProbeResult::Unreachable).await);
        }
    };
    let result = match send(gateway, name, pool, &mut connection).await {
        ProbeResult::Closed => without_response(pool, ProbeResult::Closed).await,
        result => result,
    };
    let is_kept = matches!(result, ProbeResult::Responded | ProbeResult::Silent);
    (is_kept.then_some(connection), result)
}

// Returns `otherwise` unless nothing listens.
async fn without_response(pool: &Pool, otherwise: ProbeResult) -> ProbeResult {
    match listener_state(pool.address()).await {
        ListenerState::Refusing => ProbeResult::Refused,
        ListenerState::Accepting | ListenerState::Unknown => otherwise,
    }
}

async fn send(
    gateway: &Gateway,
    name: &str,
    pool: &Pool,
    connection: &mut Connection,
) -> ProbeResult {
    let witnesses = pool.witnesses();
    let (sent_at, is_known) = (clock::now(), connection.life().responded_at().is_some());
    let result = timeout(PROBE_TIMEOUT, exchange(gateway, name, pool, connection)).await;
    let result = result.unwrap_or(ProbeResult::Silent);
    match result {
        ProbeResult::Responded => witnesses.note_probe(true),
        ProbeResult::Silent => witnesses.note_probe(false),
        _ => {}
    }
    // A new connection may be to a later process.
    if result == ProbeResult::Responded && is_known {
        witnesses.note_lived(sent_at);
    }
    result
}

async fn exchange(
    gateway: &Gateway,
    name: &str,
    pool: &Pool,
    connection: &mut Connection,
) -> ProbeResult {
    let wire = gateway.platform.wire.as_ref();
    let head = SendHead {
        backend: name,
        left: None,
        team: None,
        rank: None,
        resume_after: None,
        copy_from: None,
    };
    let req = Request::options("*").header(HOST, pool.address().to_string());
    let Ok(mut req) = req.body(Full::default()) else { return ProbeResult::Closed };
    req.headers_mut().extend(wire.send_headers(&HeaderMap::new(), head));
    let response = match connection.send(req).await {
        Ok(response) => response,
        Err(SendFailure::Malformed(_)) => return ProbeResult::Responded,
        Err(SendFailure::Unsent(_) | SendFailure::Closed) => return ProbeResult::Closed,
    };
    let (parts, body) = response.into_parts();
    // A body that isn't read leaves the connection unusable, which is no fault of the server.
    let _ = read_limited(body, MAX_BODY_BYTES, PROBE_TIMEOUT).await;
    let head = wire.read_response(&parts);
    if head.other_backend {
        return ProbeResult::OtherBackend;
    }
    pool.witnesses().keep_spare_until(clock::now() + idle_time(head.idle));
    ProbeResult::Responded
}
