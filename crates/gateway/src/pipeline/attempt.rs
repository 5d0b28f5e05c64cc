//! One send of a request to one backend server.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::{Event, Ran, Stamp};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Uri,
    body::Incoming,
    http::{request, response},
};
use tokio::time::timeout;

use crate::{
    adapter::{ResponseHead, SendHead},
    backends::{Connection, OpenError},
    clock,
    gateway::Gateway,
    meters,
    pipeline::{identify::Identified, occupancy::Occupancy, place::Place},
};

/// How much less time than is left a backend server is given: the way back to the caller.
const WAY_BACK: Duration = Duration::from_millis(15);

/// An `Original` is a caller's request as it came, for as many sends as it takes.
#[derive(Debug)]
pub struct Original {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When the caller and the route stop waiting.
    pub end: Stamp,
}

/// A `SendFault` tells how a send ended without an answer that may be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFault {
    /// No connection could be opened.
    NotOpened(OpenError),
    /// The backend server says that it did not run the request.
    NotRun,
    /// Another backend server has the address.
    OtherBackend,
    /// No head of an answer came in time.
    Silent,
    /// The connection ended before the head of an answer.
    Closed,
    /// What came answers another request, or nobody vouches for it.
    Foreign,
}

impl SendFault {
    /// Returns the word for it in logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            SendFault::NotOpened(OpenError::Unreachable) => "unreachable",
            SendFault::NotOpened(OpenError::Full) => "too_many_connections",
            SendFault::NotRun => "not_run",
            SendFault::OtherBackend => "other_backend",
            SendFault::Silent => "silent",
            SendFault::Closed => "closed",
            SendFault::Foreign => "foreign",
        }
    }
}

/// A `SendFailed` is a send that ended without an answer that may be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendFailed {
    /// How it ended.
    pub fault: SendFault,
    /// Whether the request may have run.
    pub ran: Ran,
}

/// An `Answering` is an answer whose head is there.
pub struct Answering {
    /// What the head says.
    pub head: ResponseHead,
    /// The head.
    pub parts: response::Parts,
    /// What follows it.
    pub body: Incoming,
    /// The connection that it comes by.
    pub connection: Connection,
    /// What the request takes up.
    pub occupancy: Occupancy,
    /// Where it was sent.
    pub place: Place,
}

impl Original {
    /// Returns a caller's request with its whole body.
    pub fn new(head: request::Parts, body: Bytes, end: Stamp) -> Original {
        Original { method: head.method, uri: head.uri, headers: head.headers, body, end }
    }
}

/// Sends a request and waits for the head of the answer, at most for `silence`.
pub async fn attempt(
    gateway: &Arc<Gateway>,
    req: &Identified,
    original: &Original,
    place: &Place,
    resume_after: Option<u64>,
    silence: Duration,
) -> Result<Answering, SendFailed> {
    let occupancy = Occupancy::begin(gateway, place.key, place.footprint);
    let sent = send(gateway, req, original, place, resume_after, silence).await;
    let answered = sent.and_then(|(response, connection)| {
        let (parts, body) = response.into_parts();
        let head = gateway.platform.wire.read_response(&parts);
        judge(req, &head)?;
        Ok((head, parts, body, connection))
    });
    match answered {
        Ok((head, parts, body, connection)) => {
            note_outcome(gateway, place, !head.status.is_server_error());
            Ok(Answering { head, parts, body, connection, occupancy, place: place.clone() })
        }
        Err(failed) => {
            note_failure(gateway, req, place, failed);
            Err(failed)
        }
    }
}

/// Notes how a call of a backend server ended.
pub fn note_outcome(gateway: &Gateway, place: &Place, good: bool) {
    let now = clock::now();
    let doubted = gateway.with(|state| {
        let Some(backend) = state.backends.get_mut(place.key) else { return false };
        if good {
            backend.circuit_breaker.record_success();
            return false;
        }
        backend.circuit_breaker.record_failure(now)
    });
    if doubted {
        tracing::warn!(event = Event::BackendDoubted.number(), backend = &*place.name);
    }
}

async fn send(
    gateway: &Gateway,
    req: &Identified,
    original: &Original,
    place: &Place,
    resume_after: Option<u64>,
    silence: Duration,
) -> Result<(hyper::Response<Incoming>, Connection), SendFailed> {
    let mut outgoing = request_for(gateway, req, original, place, resume_after)?;
    loop {
        let taken = place.pool.take(clock::now(), place.connections).await;
        let mut connection = taken.map_err(|error| not_run(SendFault::NotOpened(error)))?;
        let sending = connection.sender.try_send_request(outgoing);
        let Ok(sent) = timeout(silence, sending).await else {
            // Other connections to a server that went silent are mostly silent too.
            place.pool.close_idle();
            return Err(unknown(SendFault::Silent));
        };
        match sent {
            Ok(response) => return Ok((response, connection)),
            // A kept connection was closed before anything was written to it.
            Err(mut error) => match error.take_message() {
                Some(unsent) if connection.reused => outgoing = unsent,
                Some(_) => return Err(not_run(SendFault::Closed)),
                None => return Err(unknown(SendFault::Closed)),
            },
        }
    }
}

fn request_for(
    gateway: &Gateway,
    req: &Identified,
    original: &Original,
    place: &Place,
    resume_after: Option<u64>,
) -> Result<Request<Full<Bytes>>, SendFailed> {
    let left = original.end.since(clock::now()).saturating_sub(WAY_BACK);
    let send = SendHead {
        backend: &place.name,
        left: Some(left),
        team: req.team.as_ref().map(|team| &team.name),
        rank: req.call.prompt.as_ref().map(|_| req.rank()),
        resume_after,
        copy_from: place.copy_from,
    };
    let mut outgoing = Request::new(Full::new(original.body.clone()));
    *outgoing.method_mut() = original.method.clone();
    let path = original.uri.path_and_query().map_or("/", |path| path.as_str());
    *outgoing.uri_mut() = path.parse().map_err(|_| not_run(SendFault::Foreign))?;
    *outgoing.headers_mut() = gateway.platform.wire.send_headers(&original.headers, send);
    Ok(outgoing)
}

// A late answer to an earlier request may come first on a kept connection. Passed on, a caller would
// read what is meant for another.
fn judge(req: &Identified, head: &ResponseHead) -> Result<(), SendFailed> {
    let own = head.id.as_deref() == Some(req.call.id.as_str());
    if head.id.is_some() && !own {
        return Err(unknown(SendFault::Foreign));
    }
    if head.other_backend {
        return Err(not_run(SendFault::OtherBackend));
    }
    if head.not_run {
        return Err(not_run(SendFault::NotRun));
    }
    if !own || !head.sealed {
        return Err(unknown(SendFault::Foreign));
    }
    Ok(())
}

fn note_failure(gateway: &Gateway, req: &Identified, place: &Place, failed: SendFailed) {
    meters::send_failed(failed.fault.word());
    tracing::info!(
        event = Event::SendFailed.number(),
        id = req.call.id.as_str(),
        backend = &*place.name,
        fault = failed.fault.word(),
        ran = failed.ran.as_str(),
        candidates = place.candidates,
        wait_ms = place.wait.as_secs_f64() * 1_000.0
    );
    match failed.fault {
        SendFault::NotRun | SendFault::NotOpened(OpenError::Full) => {}
        SendFault::OtherBackend => gateway.with(|state| {
            if let Some(backend) = state.backends.get_mut(place.key) {
                backend.replaced = true;
            }
        }),
        SendFault::NotOpened(OpenError::Unreachable)
        | SendFault::Silent
        | SendFault::Closed
        | SendFault::Foreign => note_outcome(gateway, place, false),
    }
}

fn not_run(fault: SendFault) -> SendFailed {
    SendFailed { fault, ran: Ran::No }
}

fn unknown(fault: SendFault) -> SendFailed {
    SendFailed { fault, ran: Ran::Unknown }
}
