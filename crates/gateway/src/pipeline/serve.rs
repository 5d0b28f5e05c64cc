//! Handling of one request from its arrival to the start of the response.

use std::{sync::Arc, time::Duration};

use bulrushhall_coord::Attempts;
use bulrushhall_core::{Event, Ran, ServiceName, Stamp, config::RouteKind};
use bulrushhall_external::http::{Body, BodyError, empty, full, read_limited};
use bulrushhall_policy::rollout::Track;
use bytes::Bytes;
use hyper::{
    Request, Response,
    body::{Body as _, Incoming},
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue},
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    backends::OpenError,
    body_budget::{BodyRoom, NoRoom},
    clock,
    crashes::{Fingerprint, admit, may_repeat, send_refusal, server_hash},
    gateway::{Gateway, Phase},
    pipeline::{
        Failure,
        access_log::AccessLogEntry,
        attempt::{BackendResponse, OriginalRequest, SendFault, attempt},
        forward::ResponseForwarder,
        identify::{IdentifiedRequest, identify},
        placement::{BRITTLE_RETRY_AFTER, Placement, PlacementQuery, Way},
        queueing::Queueing,
        resumption::resumed_origin,
        room_search::RoomSearch,
        silence::{NoTakeover, SilenceStage, log_silent},
        tried::TriedServers,
    },
    rollouts::AttemptEnd,
    table::QuotaUnit,
    waiting::place_or_wait,
};

/// The part of the caller's deadline that is kept for the way of the response to the caller.
const CALLER_MARGIN: Duration = Duration::from_millis(20);
/// The timeout after which an idempotent call is sent to another server, as a multiple of the service's
/// 95th percentile: a call that is merely slow is not worth a second one.
const CALL_TIMEOUT_FACTOR: u32 = 2;
/// The minimum of this timeout: a healthy node may stall that long.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(100);
/// The maximum of this timeout is the remaining time divided by this number: the second attempt needs
/// time too.
const CALL_TIMEOUT_DIVISOR: u32 = 3;
/// The time beyond the expected first token after which a resumable stream is sent to another engine.
const ENGINE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);
/// The seed of the hash that chooses between versions, which has to differ from that for services.
const TRACK_SEED: u64 = 1;
/// The number of failed connection attempts after which a request is given up.
pub const MAX_CONNECT_FAILURES: usize = 4;
/// The number of nodes without room for a request after which it is refused.
const MAX_FULL_FAILURES: usize = 6;
/// The number of failed connection attempts after which another node carries a request.
pub const MAX_OWN_CONNECT_FAILURES: usize = 2;

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

/// A response and the backend servers that the request was sent to.
type Sent = (BackendResponse, TriedServers);
type Handled = (OriginalRequest, IdentifiedRequest, BackendResponse, TriedServers);

async fn handle(
    gateway: &Arc<Gateway>,
    req: Request<Incoming>,
    started: Stamp,
    log_entry: &mut AccessLogEntry,
) -> Result<Handled, Failure> {
    let (head, body) = req.into_parts();
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
    let limit = gateway.retry_limit();
    gateway.with(|state| {
        state.retry_budgets.entry(service.clone()).or_default().note_first(clock::now(), limit);
    });
    let mut attempts = Attempts::default();
    let mut error_response = None;
    let retry_state = (&mut attempts, &mut error_response);
    let sent = send_with_retries(gateway, &req, &original, &service, retry_state, log_entry).await;
    match (sent, error_response) {
        (Ok((backend_response, tried)), _) => Ok((original, req, backend_response, tried)),
        // An error response of a backend server is forwarded if no retry replaced it.
        (Err(_), Some((backend_response, tried))) => Ok((original, req, backend_response, tried)),
        (Err(failure), None) => {
            if attempts.ran() == Ran::No {
                refund_quota(gateway, &req, amount);
            }
            Err(failure)
        }
    }
}

async fn read_body(
    gateway: &Gateway,
    req: &IdentifiedRequest,
    body: Incoming,
    time_limit: Duration,
) -> Result<(Bytes, BodyRoom), Failure> {
    if body.is_end_stream() {
        return Ok((Bytes::new(), BodyRoom::default()));
    }
    let max_bytes = req.table.limits.body_bytes;
    let announced = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    let announced = announced.unwrap_or(max_bytes).min(max_bytes);
    let reserving = gateway.bodies.reserve(announced, time_limit).await;
    let room = reserving.map_err(|NoRoom| Failure::NoMemory)?;
    let read = read_limited(body, max_bytes, time_limit).await;
    let bytes = read.map_err(|error| match error {
        BodyError::TooLarge => Failure::BodyTooLarge,
        BodyError::Timeout => Failure::TimedOut(Ran::No),
        BodyError::Closed => Failure::BodyLost,
    })?;
    Ok((bytes, room))
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

async fn send_with_retries(
    gateway: &Arc<Gateway>,
    req: &IdentifiedRequest,
    original: &OriginalRequest,
    service: &ServiceName,
    (attempts, error_response): (&mut Attempts, &mut Option<Sent>),
    log_entry: &mut AccessLogEntry,
) -> Result<Sent, Failure> {
    let mut tried = TriedServers::default();
    let mut connect_failures = 0;
    let mut search = RoomSearch::default();
    let mut last_end = AttemptEnd::default();
    let mut breaks = 0;
    loop {
        if let Some(failure) = send_refusal(gateway, req, log_entry.sends) {
            return Err(unless_run(failure, attempts));
        }
        let began = clock::now();
        let left = original.deadline.since(began);
        if left.is_zero() {
            return Err(Failure::TimedOut(attempts.ran()));
        }
        let track = match (&req.origin, tried.is_empty()) {
            (Some(_), _) => Track::Current,
            (None, true) => first_track(gateway, req, service),
            (None, false) => retry_track(gateway, service, last_end),
        };
        // Another server may be unreachable as well, and each attempt to connect takes time.
        let way = if connect_failures < MAX_OWN_CONNECT_FAILURES { Way::Own } else { Way::Carried };
        let (tried_servers, origin) = (&tried, req.origin.as_ref());
        let queueing = Queueing::Never;
        let query = PlacementQuery {
            req,
            service,
            tried: tried_servers,
            left,
            track,
            way,
            origin,
            queueing,
        };
        let placement = place_or_wait(gateway, query, original.deadline, log_entry).await;
        let placement = placement.map_err(|failure| unless_run(failure, attempts))?;
        let left = original.deadline.since(clock::now());
        tried.note(placement.key);
        log_entry.note_attempt(&placement);
        attempts.begin();
        let response_timeout = response_timeout(req, &placement, log_entry.sends, left).min(left);
        let resume = req.call.resume_after;
        let sent = attempt(gateway, req, original, &placement, resume, response_timeout).await;
        let failed = match sent {
            Ok(backend_response) => {
                attempts.end(Ran::Yes);
                let is_retryable = backend_response.head.status.is_server_error()
                    && req.route.cfg.kind.may_run_again();
                if !is_retryable || !take_retry(gateway, req, service, log_entry) {
                    return Ok((backend_response, tried));
                }
                *error_response = Some((backend_response, tried.clone()));
                last_end = AttemptEnd::Other;
                continue;
            }
            Err(failed) => failed,
        };
        last_end = failed.fault.attempt_end();
        attempts.end(failed.ran);
        let is_searching = is_refused_for_room(gateway, service, failed.fault, &placement);
        let is_search_over = is_searching && search.note_refusal(began, clock::now());
        let no_room = Failure::ServersLimited(BRITTLE_RETRY_AFTER);
        if matches!(failed.fault, SendFault::NotOpened(_)) {
            // Nothing reached a backend server, so this does not count as an attempt.
            log_entry.note_unsent();
            if placement.carrier.is_none() {
                tried.note_unopened();
            }
            // The room at a brittle server is used up at one node, and may not be at the next one.
            let is_full = failed.fault == SendFault::NotOpened(OpenError::Full);
            if let Some(node) = placement.carrier.filter(|_| is_full) {
                tried.note_full(node);
                if tried.full_count() < MAX_FULL_FAILURES && !is_search_over {
                    continue;
                }
                return Err(unless_run(no_room, attempts));
            }
            if is_search_over {
                return Err(unless_run(no_room, attempts));
            }
            connect_failures += 1;
            if connect_failures < MAX_CONNECT_FAILURES {
                continue;
            }
            return Err(unless_run(Failure::NoBackend, attempts));
        }
        if failed.fault == SendFault::Blocked {
            let refusal = send_refusal(gateway, req, log_entry.sends);
            return Err(unless_run(refusal.unwrap_or(Failure::PartBlocked), attempts));
        }
        if original.deadline <= clock::now() {
            return Err(Failure::TimedOut(attempts.ran()));
        }
        if is_search_over {
            return Err(unless_run(no_room, attempts));
        }
        let allowed = attempts.may_retry() || req.route.cfg.kind.may_run_again();
        let log_if_silent = |takeover| {
            if failed.fault == SendFault::Silent {
                let silence = (SilenceStage::Head, clock::now().since(began));
                log_silent(req, &placement, silence, takeover);
            }
        };
        if !allowed {
            log_if_silent(Err(NoTakeover::NotRepeatable));
            return Err(unless_run(Failure::Rejected, attempts));
        }
        // A server that closed the connection, or is silent, may have crashed.
        let may_have_crashed = matches!(failed.fault, SendFault::Closed | SendFault::Silent);
        if may_have_crashed {
            breaks += 1;
            let server = server_hash(&placement.name, placement.born);
            if !may_repeat(gateway, req, server, breaks).await {
                log_if_silent(Err(NoTakeover::Blocked));
                return Err(unless_run(Failure::Rejected, attempts));
            }
        }
        if !take_retry(gateway, req, service, log_entry) {
            let is_last = req.route.cfg.attempts <= log_entry.sends;
            let reason = if is_last { NoTakeover::Attempts } else { NoTakeover::Budget };
            log_if_silent(Err(reason));
            return Err(unless_run(Failure::Rejected, attempts));
        }
        log_if_silent(Ok(()));
    }
}

// Returns whether a brittle server, or a node that was to carry the request there, has refused it. That this node could not
// open a connection says nothing of the room.
fn is_refused_for_room(
    gateway: &Gateway,
    service: &ServiceName,
    fault: SendFault,
    placement: &Placement,
) -> bool {
    let is_refused = match fault {
        SendFault::NotRun => true,
        SendFault::NotOpened(_) => placement.carrier.is_some(),
        _ => false,
    };
    is_refused && gateway.with(|state| state.brittle.get(service).is_some())
}

// Only the first attempt may go to a version that is being rolled out: retries would add to its share.
fn first_track(gateway: &Gateway, req: &IdentifiedRequest, service: &ServiceName) -> Track {
    let hash = xxh3_64_with_seed(req.call.id.as_bytes(), TRACK_SEED);
    let is_bound = req.is_bound();
    gateway.with(|state| state.rollouts.track(clock::now(), service, hash, is_bound))
}

/// Returns the version to which a request goes again.
pub fn retry_track(gateway: &Gateway, service: &ServiceName, last: AttemptEnd) -> Track {
    gateway.with(|state| state.rollouts.retry_track(clock::now(), service, last))
}

/// Returns whether a request may be retried, and takes the retry from the retry budget.
pub fn take_retry(
    gateway: &Gateway,
    req: &IdentifiedRequest,
    service: &ServiceName,
    log_entry: &AccessLogEntry,
) -> bool {
    if req.route.cfg.attempts <= log_entry.sends {
        return false;
    }
    let now = clock::now();
    let limit = gateway.retry_limit();
    let has_budget = gateway.with(|state| {
        let nodes = state.members.count();
        state.retry_budgets.entry(service.clone()).or_default().take(now, limit, nodes)
    });
    if !has_budget {
        tracing::info!(
            event = Event::RepeatRefused.number(),
            id = req.call.id.as_str(),
            service = service.as_str(),
            sends = log_entry.sends
        );
    }
    has_budget
}

// A refusal guarantees that the request was not run. If it may have been, the failure says so.
fn unless_run(failure: Failure, attempts: &Attempts) -> Failure {
    if attempts.ran() == Ran::No { failure } else { Failure::ResponseLost }
}

fn response_timeout(
    req: &IdentifiedRequest,
    placement: &Placement,
    sends: u32,
    left: Duration,
) -> Duration {
    let is_last = req.route.cfg.attempts <= sends;
    match req.route.cfg.kind {
        RouteKind::Idempotent if !is_last => {
            let max = (left / CALL_TIMEOUT_DIVISOR).max(MIN_CALL_TIMEOUT);
            (placement.p95_call * CALL_TIMEOUT_FACTOR + placement.wait).clamp(MIN_CALL_TIMEOUT, max)
        }
        RouteKind::ResumableStream if !is_last => {
            ENGINE_TIMEOUT_MARGIN + placement.footprint.expected.unwrap_or_default()
        }
        _ => Duration::MAX,
    }
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
