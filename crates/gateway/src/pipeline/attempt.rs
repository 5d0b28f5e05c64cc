//! One attempt to send a request to one backend server.

use std::{
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bulrushhall_coord::decode_message;
use bulrushhall_core::{Event, Ran, Stamp};
use bulrushhall_external::http::{CheckedBody, SendFailure, read_limited};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Uri,
    http::{request, response},
};
use tokio::{sync::oneshot, time::timeout};

use crate::{
    adapter::{ResponseHead, SendHead},
    announcements::note_response,
    backends::{Connection, OpenError},
    body_budget::BodyRoom,
    brittle, clock,
    cluster::{CARRIED_HEADER, CARRIED_UNDELIMITED, CARRY_PATH, CarriedRequest, CarryFailure},
    crashes::{SentRequest, UnmarkedAnswer, log_broken_answer, note_answering, note_unopened},
    gateway::Gateway,
    meters,
    pipeline::{
        first_bytes::{check_short, read_ahead},
        identify::IdentifiedRequest,
        in_flight::InFlightGuard,
        placement::Placement,
        response_body::ResponseBody,
        send_fault::{SendError, SendFault},
    },
    reachability::{note_opened, note_unreachable, suspect_server},
};

/// The part of the remaining time that is kept for the way of the response back to the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(15);
/// The time beyond the expected response after which the way to a service is checked: servers may be silent for
/// about a second.
const OVERDUE_MARGIN: Duration = Duration::from_millis(700);
/// The maximum size of the reason why a request was not carried, in bytes.
const MAX_FAILURE_BYTES: usize = 1_024;
/// The time limit for this reason, whose head has arrived already.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(300);

/// An `OriginalRequest` is a caller's request as it was received, kept for as many attempts as it takes.
#[derive(Debug)]
pub struct OriginalRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    _room: BodyRoom,
    /// When the caller's deadline or the route's timeout is reached.
    pub deadline: Stamp,
}

/// A `SilenceLimit` is how long a backend server may send nothing before another one is looked for.
#[derive(Debug)]
pub struct SilenceLimit {
    /// The time from the send, and from the head to the start of the body.
    pub after: Duration,
    /// Notified when it is over; none if it was.
    pub exceeded: Option<oneshot::Sender<()>>,
    /// Whether other servers may answer the request as well.
    pub is_raced: Arc<AtomicBool>,
}

/// A `BackendResponse` is a backend server's response whose head has arrived.
pub struct BackendResponse {
    /// The platform-independent view of the head.
    pub head: ResponseHead,
    /// The head.
    pub parts: response::Parts,
    /// The body.
    pub body: ResponseBody,
    /// The connection that carries it.
    pub connection: Connection,
    /// The in-flight count of the request.
    pub in_flight: InFlightGuard,
    /// The backend server that sends it.
    pub placement: Placement,
    /// The request there; none if another node carries it, which observes the server.
    pub sent: Option<SentRequest>,
    /// When the head arrived.
    pub begun_at: Stamp,
    /// The answer, if its end will have no mark.
    _unmarked: Option<UnmarkedAnswer>,
}

/// Marks a carried response that has no marked end where the server sends it.
#[derive(Clone, Copy)]
struct Undelimited;

impl BackendResponse {
    /// Returns whether the end of the body is marked: one without a length or chunks ends with its connection.
    pub fn is_delimited(&self) -> bool {
        self.parts.extensions.get::<Undelimited>().is_none() && self.body.end().is_marked()
    }

    /// Returns whether the end of the body proves that it is whole; that of a carried one is its carrier's to judge.
    pub fn has_marked_end(&self) -> bool {
        self.is_delimited() || self.placement.carrier.is_some()
    }
}

impl OriginalRequest {
    /// Returns a caller's request with its complete body.
    pub fn new(
        head: request::Parts,
        (body, room): (Bytes, BodyRoom),
        deadline: Stamp,
    ) -> OriginalRequest {
        OriginalRequest {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            _room: room,
            deadline,
        }
    }
}

/// Sends a request and waits for the head of the response, also after its server has been silent for too long.
///
/// If other servers may answer as well, it also waits for the start of the body: a server may fail after the head.
pub async fn attempt(
    gateway: &Arc<Gateway>,
    req: &IdentifiedRequest,
    original: &OriginalRequest,
    placement: &Placement,
    resume_after: Option<u64>,
    mut limit: SilenceLimit,
) -> Result<BackendResponse, SendError> {
    let mut in_flight = InFlightGuard::begin(gateway, placement);
    let sent_at = clock::now();
    let mut sent = sent_request(gateway, req, placement);
    if let Some(probe) = &req.probe {
        probe.note_sent();
    }
    let sending = send(gateway, req, original, placement, (resume_after, sent.as_ref()));
    let is_silent = || note_silent(gateway, placement, &mut in_flight, sent.as_ref());
    let answered = limit.outlast(sending, is_silent).await;
    let begun_at = clock::now();
    let answered = answered.and_then(|(response, connection)| {
        let (parts, body) = response.into_parts();
        let head = gateway.platform.wire.read_response(&parts);
        if is_response_of(req, &head) {
            let server = (placement.key, &*placement.name);
            note_response(gateway, server, sent_at, &head);
            if placement.carrier.is_none() {
                brittle::note_response(gateway, placement.key, sent_at, &head);
                note_answering(gateway, placement.key, sent_at);
            }
        }
        check_head(req, &head)?;
        let has_end = placement.carrier.is_some() || body.end().is_marked();
        let server = (placement.key, &placement.name);
        let unmarked = (!has_end).then(|| UnmarkedAnswer::begin(gateway, server, &placement.pool));
        Ok((head, parts, ResponseBody::new(body), connection, unmarked))
    });
    let answered = match answered {
        Ok((head, parts, mut body, connection, unmarked)) => {
            let read = if limit.waits_for_body(&head) {
                let is_marked = placement.carrier.is_some() || body.end().is_marked();
                let reading =
                    read_ahead(req, &head, &mut body, (resume_after, is_marked), &gateway.events);
                let is_silent = || note_silent(gateway, placement, &mut in_flight, sent.as_ref());
                limit.outlast(reading, is_silent).await
            } else {
                check_short(req, &head, &mut body).await
            };
            if let Some(sent) = &mut sent {
                body.ahead().for_each(|bytes| sent.note_bytes(bytes));
            }
            let kept = connection.reused;
            read.map(|()| (head, parts, body, connection, unmarked))
                .map_err(|fault| SendError { kept, ..may_have_run(fault) })
        }
        Err(failed) => Err(failed),
    };
    match answered {
        Ok((head, parts, body, connection, unmarked)) => {
            // The success of a stream is known with its first event.
            if !(head.status.is_success() && req.route.cfg.kind.is_stream()) {
                note_outcome(gateway, placement, !head.status.is_server_error());
            }
            if head.status.is_server_error() {
                in_flight.note_failed();
            }
            if head.status.is_success() {
                in_flight.note_success();
            }
            Ok(BackendResponse {
                head,
                parts,
                body,
                connection,
                in_flight,
                placement: placement.clone(),
                sent,
                begun_at,
                _unmarked: unmarked,
            })
        }
        Err(failed) => {
            note_failure(gateway, req, placement, (failed, clock::now().since(sent_at)));
            if matches!(failed.fault, SendFault::Closed | SendFault::Foreign) {
                in_flight.note_failed();
            }
            let is_broken = failed.fault == SendFault::Closed && failed.ran != Ran::No;
            if is_broken {
                let began_at = sent.as_ref().and_then(SentRequest::began_at);
                log_broken_answer(req, placement, began_at);
            }
            if let Some(sent) = &mut sent {
                match failed.fault {
                    SendFault::Closed if is_broken => sent.note_broken(),
                    _ => sent.settle(),
                }
            }
            Err(failed)
        }
    }
}

impl SilenceLimit {
    // Waits for the server, also after the limit is over.
    async fn outlast<T>(
        &mut self,
        waiting: impl Future<Output = T>,
        note_silent: impl FnOnce(),
    ) -> T {
        let mut waiting = pin!(waiting);
        let Some(exceeded) = self.exceeded.take() else { return waiting.await };
        if let Ok(ended) = timeout(self.after, &mut waiting).await {
            self.exceeded = Some(exceeded);
            return ended;
        }
        note_silent();
        let _ = exceeded.send(());
        waiting.await
    }

    fn waits_for_body(&self, head: &ResponseHead) -> bool {
        let may_answer = head.status.is_success() || head.status.is_server_error();
        may_answer && self.is_raced.load(Ordering::Relaxed)
    }
}

// A silent server counts as one that failed until it answers. Its other connections are usually affected too.
fn note_silent(
    gateway: &Gateway,
    placement: &Placement,
    in_flight: &mut InFlightGuard,
    sent: Option<&SentRequest>,
) {
    placement.pool.close_idle();
    note_outcome(gateway, placement, false);
    in_flight.note_failed();
    if let Some(sent) = sent {
        sent.note_stalled(sent.sent_at());
    }
}

/// Records in the circuit breaker of a backend server whether a call succeeded.
pub fn note_outcome(gateway: &Gateway, placement: &Placement, succeeded: bool) {
    let now = clock::now();
    let opened = gateway.with(|state| {
        let Some(backend) = state.backends.get_mut(placement.key) else { return false };
        if succeeded {
            backend.circuit_breaker.record_success();
            return false;
        }
        backend.circuit_breaker.record_failure(now)
    });
    if opened {
        tracing::warn!(event = Event::BackendDoubted.number(), backend = &*placement.name);
    }
}

async fn send(
    gateway: &Arc<Gateway>,
    req: &IdentifiedRequest,
    original: &OriginalRequest,
    placement: &Placement,
    (resume_after, sent): (Option<u64>, Option<&SentRequest>),
) -> Result<(hyper::Response<CheckedBody>, Connection), SendError> {
    let mut outgoing = backend_request(gateway, req, original, placement, resume_after)?;
    let mut _room = None;
    if placement.carrier.is_some() {
        // The message has a copy of the body.
        let room = gateway.bodies.try_reserve(original.body.len());
        _room = Some(room.ok_or_else(|| not_run(SendFault::NotOpened(OpenError::Full)))?);
        outgoing = carried_request(req, original, placement, &outgoing)?;
    }
    loop {
        let mut connection = connect(gateway, placement).await?;
        let sending = connection.send(outgoing);
        let sending = with_suspicion(gateway, placement, sent, sending);
        match sending.await {
            Ok(response) if is_carry_failure(placement, &response) => {
                return Err(carry_failure(response).await);
            }
            Ok(mut response) => {
                let carried = response.headers_mut().remove(CARRIED_HEADER);
                if carried.is_some_and(|value| value == CARRIED_UNDELIMITED) {
                    response.extensions_mut().insert(Undelimited);
                }
                return Ok((response, connection));
            }
            // A pooled connection may have been closed before anything was written to it.
            Err(SendFailure::Unsent(unsent)) if connection.reused => outgoing = *unsent,
            Err(SendFailure::Unsent(_)) => return Err(not_run(SendFault::Closed)),
            Err(SendFailure::Malformed(_)) => {
                return Err(lost(SendFault::Foreign, &connection));
            }
            Err(SendFailure::Closed) => return Err(lost(SendFault::Closed, &connection)),
        }
    }
}

// Opens or takes a connection to the server, or to the node that carries the request.
async fn connect(gateway: &Arc<Gateway>, placement: &Placement) -> Result<Connection, SendError> {
    let taken = placement.pool.take(clock::now(), placement.connections).await;
    let is_own = placement.carrier.is_none();
    match taken {
        Ok(connection) => {
            if is_own && !connection.reused {
                note_opened(gateway, placement.key);
            }
            Ok(connection)
        }
        Err(error) => {
            if is_own && error == OpenError::Unreachable {
                note_unreachable(gateway, placement.key);
                note_unopened(gateway, placement.key);
            }
            Err(not_run(SendFault::NotOpened(error)))
        }
    }
}

// Checks the way to the service if the response is overdue: the connection may hang.
async fn with_suspicion<T>(
    gateway: &Arc<Gateway>,
    placement: &Placement,
    sent: Option<&SentRequest>,
    sending: impl Future<Output = T>,
) -> T {
    let mut sending = pin!(sending);
    let overdue = placement.expected + placement.wait + OVERDUE_MARGIN;
    if let Ok(sent) = timeout(overdue, &mut sending).await {
        return sent;
    }
    if placement.carrier.is_none() {
        suspect_server(gateway, placement.key);
    }
    if let Some(sent) = sent {
        sent.note_stalled(sent.sent_at());
    }
    sending.await
}

// The connection to a node that carries the request tells nothing of the server; that node observes it.
fn sent_request(
    gateway: &Arc<Gateway>,
    req: &IdentifiedRequest,
    placement: &Placement,
) -> Option<SentRequest> {
    let server = (placement.key, &*placement.name, placement.born);
    let is_own = placement.carrier.is_none();
    is_own.then(|| SentRequest::begin(gateway, server, &req.call.id, &req.fingerprint))
}

fn carried_request(
    req: &IdentifiedRequest,
    original: &OriginalRequest,
    placement: &Placement,
    outgoing: &Request<Full<Bytes>>,
) -> Result<Request<Full<Bytes>>, SendError> {
    let left = original.deadline.since(clock::now());
    let backend = (&*placement.name, placement.born);
    let carried = CarriedRequest::new(backend, left, outgoing, original.body.clone());
    let carried = CarriedRequest { is_probe: req.probe.is_some(), ..carried };
    let message = rmp_serde::to_vec_named(&carried);
    let message = message.map_err(|_| not_run(SendFault::Foreign))?;
    let req = Request::post(CARRY_PATH).body(Full::new(Bytes::from(message)));
    req.map_err(|_| not_run(SendFault::Foreign))
}

fn is_carry_failure(placement: &Placement, response: &hyper::Response<CheckedBody>) -> bool {
    placement.carrier.is_some() && !response.headers().contains_key(CARRIED_HEADER)
}

// Without a readable reason the request may have run, unless the node did not take it: an earlier version of it does not
// know the path.
async fn carry_failure(response: hyper::Response<CheckedBody>) -> SendError {
    if response.status().is_client_error() {
        return not_run(SendFault::NotOpened(OpenError::Unreachable));
    }
    let body = read_limited(response.into_body(), MAX_FAILURE_BYTES, FAILURE_TIMEOUT).await;
    let failure = body.ok().and_then(|body| decode_message::<CarryFailure>(&body).ok());
    match failure {
        Some(CarryFailure { ran: Ran::No, blocked: true, .. }) => not_run(SendFault::Blocked),
        Some(CarryFailure { ran: Ran::No, full, .. }) => {
            let error = if full { OpenError::Full } else { OpenError::Unreachable };
            not_run(SendFault::NotOpened(error))
        }
        _ => may_have_run(SendFault::Closed),
    }
}

fn backend_request(
    gateway: &Gateway,
    req: &IdentifiedRequest,
    original: &OriginalRequest,
    placement: &Placement,
    resume_after: Option<u64>,
) -> Result<Request<Full<Bytes>>, SendError> {
    let left = original.deadline.since(clock::now()).saturating_sub(RETURN_MARGIN);
    let send = SendHead {
        backend: &placement.name,
        left: Some(left),
        team: req.team.as_ref().map(|team| &team.name),
        rank: req.call.prompt.as_ref().map(|_| req.rank()),
        resume_after,
        copy_from: placement.copy_from,
    };
    let mut outgoing = Request::new(Full::new(original.body.clone()));
    *outgoing.method_mut() = original.method.clone();
    let path = original.uri.path_and_query().map_or("/", |path| path.as_str());
    *outgoing.uri_mut() = path.parse().map_err(|_| not_run(SendFault::Foreign))?;
    *outgoing.headers_mut() = gateway.platform.wire.send_headers(&original.headers, send);
    Ok(outgoing)
}

// Another server at the address, or a late response, says nothing about the present state of the server.
fn is_response_of(req: &IdentifiedRequest, head: &ResponseHead) -> bool {
    let is_of_other = head.id.as_deref().is_some_and(|id| id != req.call.id);
    !head.other_backend && !is_of_other
}

// A late response to an earlier request may arrive first on a pooled connection. If it were forwarded,
// a caller would read a response that is meant for another.
fn check_head(req: &IdentifiedRequest, head: &ResponseHead) -> Result<(), SendError> {
    let matches = head.id.as_deref() == Some(req.call.id.as_str());
    if head.id.is_some() && !matches {
        return Err(may_have_run(SendFault::Foreign));
    }
    if head.other_backend {
        return Err(not_run(SendFault::OtherBackend));
    }
    if head.not_run {
        return Err(not_run(SendFault::NotRun));
    }
    if !matches || !head.sealed {
        return Err(may_have_run(SendFault::Foreign));
    }
    Ok(())
}

/// Logs that an attempt is given up whose server has not answered.
pub fn note_unanswered(req: &IdentifiedRequest, placement: &Placement, took: Duration) {
    log_failure(req, placement, may_have_run(SendFault::Silent), took);
}

fn log_failure(req: &IdentifiedRequest, placement: &Placement, failed: SendError, took: Duration) {
    meters::send_failed(failed.fault.as_str());
    tracing::info!(
        event = Event::SendFailed.number(),
        id = req.call.id.as_str(),
        backend = &*placement.name,
        fault = failed.fault.as_str(),
        carrier = placement.carrier.as_ref().map(tracing::field::display),
        ran = failed.ran.as_str(),
        kept = failed.kept,
        took_ms = took.as_secs_f64() * 1_000.0,
        candidates = placement.candidates,
        wait_ms = placement.wait.as_secs_f64() * 1_000.0
    );
}

fn note_failure(
    gateway: &Gateway,
    req: &IdentifiedRequest,
    placement: &Placement,
    (failed, took): (SendError, Duration),
) {
    log_failure(req, placement, failed, took);
    if matches!(failed.fault, SendFault::NotOpened(_)) {
        gateway.with(|state| {
            if let Some(backend) = state.backends.get_mut(placement.key) {
                backend.announced.refund_request();
            }
        });
    }
    match failed.fault {
        SendFault::Blocked | SendFault::NotRun | SendFault::NotOpened(OpenError::Full) => {}
        SendFault::OtherBackend => gateway.with(|state| {
            if let Some(backend) = state.backends.get_mut(placement.key) {
                backend.replaced = true;
            }
        }),
        // It tells nothing of the server that another node did not carry the request.
        SendFault::NotOpened(_) if placement.carrier.is_some() => {}
        SendFault::NotOpened(OpenError::Unreachable)
        | SendFault::Silent
        | SendFault::Closed
        | SendFault::Foreign => note_outcome(gateway, placement, false),
    }
}

fn not_run(fault: SendFault) -> SendError {
    SendError { fault, ran: Ran::No, kept: false }
}

fn lost(fault: SendFault, connection: &Connection) -> SendError {
    SendError { kept: connection.reused, ..may_have_run(fault) }
}

fn may_have_run(fault: SendFault) -> SendError {
    SendError { fault, ran: Ran::Unknown, kept: false }
}
