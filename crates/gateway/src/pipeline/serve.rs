//! Handling of one request from its arrival to the start of the response.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::{Ran, Stamp};
use bulrushhall_external::http::{
    Body, BodyError, BodyLimits, DiscardLimits, UnreadBody, empty, full,
};
use bytes::Bytes;
use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    body_budget::BodyRoom,
    clock,
    crashes::{Fingerprint, admit},
    gateway::{Gateway, Phase},
    meters,
    pipeline::{
        Failure,
        access_log::AccessLogEntry,
        attempt::{BackendResponse, OriginalRequest},
        forward::ResponseForwarder,
        identify::{IdentifiedRequest, identify},
        resumption::resumed_origin,
        send::{RequestSender, SendAim},
        tried::TriedServers,
    },
    table::QuotaUnit,
};

/// The part of the caller's deadline that is kept for the way of the response to the caller.
const CALLER_MARGIN: Duration = Duration::from_millis(20);

/// Returns the response to a caller's request.
pub async fn serve(gateway: Arc<Gateway>, req: Request<Incoming>) -> Response<Body> {
    let started = clock::now();
    let mut log_entry = AccessLogEntry::begin(Arc::clone(&gateway), started);
    let handled = handle(&gateway, req, started, &mut log_entry).await;
    let mut response = match handled {
        Ok((original, req, backend_response, tried)) => {
            log_entry.status = backend_response.head.status.as_u16();
            forward_response(&gateway, original, req, backend_response, tried, log_entry)
        }
        Err(failure) => {
            log_entry.note_failure(failure);
            let body = failure.reason().map_or_else(empty, full);
            gateway.platform.wire.refusal(failure.refusal()).map(|()| body)
        }
    };
    if Phase::Serving < gateway.phase() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns the hash by which the traffic split chooses the service of a request; all its attempts, and all attempts of
/// its caller for the same stream, go to the same service.
pub fn service_hash(req: &IdentifiedRequest) -> u64 {
    xxh3_64(req.call.resumes.as_deref().unwrap_or(&req.call.id).as_bytes())
}

/// A response, its request, and the backend servers that the request was sent to.
type Handled = (OriginalRequest, IdentifiedRequest, BackendResponse, TriedServers);

async fn handle(
    gateway: &Arc<Gateway>,
    req: Request<Incoming>,
    started: Stamp,
    log_entry: &mut AccessLogEntry,
) -> Result<Handled, Failure> {
    let leaving = Arc::clone(gateway);
    let is_leaving = move || Phase::Serving < leaving.phase();
    let (head, body) = UnreadBody::take(req, discard_limits(gateway), is_leaving);
    let mut req = identify(gateway, &head)?;
    log_entry.note_identified(&req);
    if gateway.phase() == Phase::Draining {
        return Err(Failure::Leaving);
    }
    let time_limit = req.call.deadline.map(|deadline| deadline.saturating_sub(CALLER_MARGIN));
    let timeout = Duration::from(req.route.cfg.timeout);
    let time_limit = time_limit.map_or(timeout, |left| left.min(timeout));
    let deadline = started + time_limit;
    let (body, room) = read_body(gateway, &req, body, time_limit).await?;
    let original = OriginalRequest::new(head, (body, room), deadline);
    let OriginalRequest { method, uri, body, .. } = &original;
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    req.fingerprint = Arc::new(Fingerprint::new(method, path, &req.call, body));
    log_entry.note_identified(&req);
    req.probe = admit(gateway, &req).await?;
    let amount = quota_amount(&req);
    log_entry.counted = amount;
    take_quota(gateway, &req, amount)?;
    match resumed_origin(gateway, &req).await {
        Ok(origin) => req.origin = origin,
        Err(failure) => {
            refund_quota(gateway, &req, amount);
            return Err(failure);
        }
    }
    let service = req.service().cloned().ok_or(Failure::NoBackend)?;
    gateway.with(|state| state.retries.note_first(clock::now(), &service));
    let mut tried = TriedServers::default();
    let state = (&mut tried, log_entry);
    let mut sender =
        RequestSender::new((gateway, &req), &original, &service, state, SendAim::Answer);
    let sent = sender.send().await;
    let (attempts, error_response) = (sender.attempts, sender.error_response.take());
    drop(sender);
    if let (Err(_), Ran::No, Some(probe)) = (&sent, attempts.ran(), &req.probe) {
        probe.note_not_run();
    }
    match (sent, error_response) {
        (Ok(backend_response), _) => Ok((original, req, backend_response, tried)),
        // An error response of a backend server is forwarded if no retry replaced it.
        (Err(_), Some(backend_response)) => Ok((original, req, backend_response, tried)),
        (Err(not_sent), None) => {
            if attempts.ran() == Ran::No {
                refund_quota(gateway, &req, amount);
            }
            Err(not_sent.failure)
        }
    }
}

// A caller may send as much, and hold its connection for as long, as it may without a refusal.
fn discard_limits(gateway: &Gateway) -> DiscardLimits {
    let limits = gateway.caller_limits();
    DiscardLimits { bytes: limits.body_bytes, time: limits.idle_timeout }
}

async fn read_body(
    gateway: &Gateway,
    req: &IdentifiedRequest,
    body: UnreadBody,
    time_limit: Duration,
) -> Result<(Bytes, BodyRoom), Failure> {
    if body.is_empty() {
        return Ok((Bytes::new(), BodyRoom::default()));
    }
    let limits = BodyLimits { bytes: req.table.limits.body_bytes, time: time_limit, copies: 1 };
    let read = body.read(&gateway.bodies, limits).await;
    meters::body_bytes(gateway.bodies.used_bytes());
    read.map_err(|error| match error {
        BodyError::TooLarge => Failure::BodyTooLarge,
        BodyError::Timeout => Failure::TimedOut(Ran::No),
        BodyError::Closed | BodyError::Malformed => Failure::BodyLost,
        BodyError::NoRoom => Failure::NoMemory,
    })
}

fn quota_amount(req: &IdentifiedRequest) -> f64 {
    let Some(team) = &req.team else { return 0.0 };
    let announced = req.call.prompt.as_ref();
    let announced =
        announced.map(|prompt| f64::from(prompt.tokens) + f64::from(prompt.max_answer_tokens));
    match team.unit {
        QuotaUnit::Requests => 1.0,
        QuotaUnit::Tokens { default_tokens } => announced.unwrap_or(default_tokens),
    }
}

fn take_quota(gateway: &Gateway, req: &IdentifiedRequest, amount: f64) -> Result<(), Failure> {
    let Some(team) = &req.team else { return Ok(()) };
    let now = clock::now();
    let limit = team.limit.with_slack(gateway.quota_slack());
    let taken = gateway.with(|state| {
        let nodes = state.members.count();
        let taken = state.quota(&team.name).take(now, limit, nodes, amount);
        state.team_counts(team).note(now, amount, taken.is_ok());
        taken
    });
    taken.map_err(Failure::OverQuota)
}

fn refund_quota(gateway: &Gateway, req: &IdentifiedRequest, amount: f64) {
    let Some(team) = &req.team else { return };
    gateway.with(|state| {
        if let Some(quota) = state.quotas.get_mut(&team.name) {
            quota.refund(amount);
        }
        state.team_counts(team).note_refund(clock::now(), amount);
    });
}

fn forward_response(
    gateway: &Arc<Gateway>,
    original: OriginalRequest,
    req: IdentifiedRequest,
    mut backend_response: BackendResponse,
    tried: TriedServers,
    mut log_entry: AccessLogEntry,
) -> Response<Body> {
    let headers = gateway.platform.wire.response_headers(&backend_response.parts.headers);
    let status = backend_response.parts.status;
    let is_stream = req.route.cfg.kind.is_stream() && status.is_success();
    if !is_stream {
        backend_response.in_flight.note_started();
        log_entry.note_started();
    }
    if status.is_success() && req.call.prompt.is_none() {
        backend_response.in_flight.note_call();
    }
    let forwarder = ResponseForwarder::new(
        Arc::clone(gateway),
        req,
        original,
        backend_response,
        tried,
        log_entry,
    );
    let mut response = Response::new(forwarder.into_body());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    if is_stream {
        // The length of a stream may change when it is resumed at another server.
        response.headers_mut().remove(CONTENT_LENGTH);
    }
    response
}
