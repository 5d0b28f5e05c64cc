//! The whole way of one request.

use std::{sync::Arc, time::Duration};

use bulrushhall_coord::Attempts;
use bulrushhall_core::{Event, Ran, ServiceName, Stamp, config::RouteKind};
use bulrushhall_external::http::{Body, BodyError, empty, read_limited};
use bulrushhall_policy::placement::WorkerKey;
use bytes::Bytes;
use hyper::{
    Request, Response,
    body::{Body as _, Incoming},
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock,
    gateway::{Gateway, Phase},
    pipeline::{
        Failure,
        attempt::{Answering, Original, SendFault, attempt},
        identify::{Identified, identify},
        place::{Place, Search, place},
        relay::Relay,
        settle::Trail,
    },
    table::QuotaUnit,
};

/// How much sooner than the caller's deadline an answer is due: the way to the caller.
const WAY_TO_CALLER: Duration = Duration::from_millis(20);
/// After how many times what almost all calls of a service take an idempotent call is sent again: a
/// call that is merely slow is not worth a second one.
const SILENT_TIMES: u32 = 2;
/// The shortest such silence: a node may stand still that long without anything being wrong.
const SILENCE_LEAST: Duration = Duration::from_millis(100);
/// The longest, as a part of the time that is left: the second send needs its time too.
const SILENCE_SHARE: u32 = 3;
/// The shortest silence of an engine after which a stream that may be resumed is sent elsewhere, on
/// top of what its first token was expected to take.
const ENGINE_SILENCE: Duration = Duration::from_millis(1_500);
/// Connections that could not be opened, after which a request is given up.
pub const UNOPENED_MOST: usize = 4;

/// Serves one request of a caller.
pub async fn serve(gateway: Arc<Gateway>, req: Request<Incoming>) -> Response<Body> {
    let started = clock::now();
    let mut trail = Trail::begin(Arc::clone(&gateway), started);
    let answer = answer(&gateway, req, started, &mut trail).await;
    let mut answer = match answer {
        Ok((original, req, answering, tried)) => {
            trail.status = answering.head.status.as_u16();
            pass_on(&gateway, original, req, answering, tried, trail)
        }
        Err(failure) => {
            trail.failed(failure);
            gateway.platform.wire.refusal(failure.refusal()).map(|()| empty())
        }
    };
    if Phase::Serving < gateway.phase() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Returns a hash that draws the service of a request; all its sends go to the same service.
pub fn hash_of(req: &Identified) -> u64 {
    xxh3_64(req.call.id.as_bytes())
}

/// An answer and the backend servers that got the request.
type Sent = (Answering, Vec<WorkerKey>);
type Answered = (Original, Identified, Answering, Vec<WorkerKey>);

async fn answer(
    gateway: &Arc<Gateway>,
    req: Request<Incoming>,
    started: Stamp,
    trail: &mut Trail,
) -> Result<Answered, Failure> {
    let (head, body) = req.into_parts();
    let req = identify(gateway, &head)?;
    trail.identified(&req);
    if gateway.phase() == Phase::Ending {
        return Err(Failure::Leaving);
    }
    let patience = req.call.deadline.map(|deadline| deadline.saturating_sub(WAY_TO_CALLER));
    let timeout = Duration::from(req.route.cfg.timeout);
    let patience = patience.map_or(timeout, |left| left.min(timeout));
    let end = started + patience;
    let body = read_body(&req, body, patience).await?;
    let original = Original::new(head, body, end);
    let amount = quota_amount(&req);
    trail.counted = amount;
    take_quota(gateway, &req, amount)?;
    let hash = hash_of(&req);
    let service = req.route.cfg.service(hash).cloned().ok_or(Failure::NoBackend)?;
    let limit = gateway.repeat_limit();
    gateway.with(|state| {
        state.repeats.entry(service.clone()).or_default().note_first(clock::now(), limit);
    });
    let mut attempts = Attempts::default();
    let mut failed_answer = None;
    let sends = (&mut attempts, &mut failed_answer);
    let sent = send_until(gateway, &req, &original, &service, sends, trail).await;
    match (sent, failed_answer) {
        (Ok((answering, tried)), _) => Ok((original, req, answering, tried)),
        // A server's own failure that could not be replaced is still its answer.
        (Err(_), Some((answering, tried))) => Ok((original, req, answering, tried)),
        (Err(failure), None) => {
            if attempts.ran() == Ran::No {
                give_back(gateway, &req, amount);
            }
            Err(failure)
        }
    }
}

async fn read_body(req: &Identified, body: Incoming, patience: Duration) -> Result<Bytes, Failure> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let read = read_limited(body, req.table.limits.body_bytes, patience).await;
    read.map_err(|error| match error {
        BodyError::TooLarge => Failure::TooLarge,
        BodyError::Timeout => Failure::Late(Ran::No),
        BodyError::Closed => Failure::BodyLost,
    })
}

fn quota_amount(req: &Identified) -> f64 {
    let Some(team) = &req.team else { return 0.0 };
    let told = req.call.prompt.as_ref();
    let told = told.map(|prompt| f64::from(prompt.tokens) + f64::from(prompt.max_answer_tokens));
    match team.unit {
        QuotaUnit::Requests => 1.0,
        QuotaUnit::Tokens { default_tokens } => told.unwrap_or(default_tokens),
    }
}

fn take_quota(gateway: &Gateway, req: &Identified, amount: f64) -> Result<(), Failure> {
    let Some(team) = &req.team else { return Ok(()) };
    let now = clock::now();
    let limit = team.limit.with_slack(gateway.quota_slack());
    let taken = gateway.with(|state| {
        let nodes = state.members.count();
        state.quota(&team.name).take(now, limit, nodes, amount)
    });
    taken.map_err(Failure::OverQuota)
}

fn give_back(gateway: &Gateway, req: &Identified, amount: f64) {
    let Some(team) = &req.team else { return };
    gateway.with(|state| {
        if let Some(quota) = state.quotas.get_mut(&team.name) {
            quota.refund(amount);
        }
    });
}

async fn send_until(
    gateway: &Arc<Gateway>,
    req: &Identified,
    original: &Original,
    service: &ServiceName,
    (attempts, failed_answer): (&mut Attempts, &mut Option<Sent>),
    trail: &mut Trail,
) -> Result<Sent, Failure> {
    let mut tried = Vec::new();
    let mut unopened = 0;
    loop {
        let left = original.end.since(clock::now());
        if left.is_zero() {
            return Err(Failure::Late(attempts.ran()));
        }
        let placed = place(gateway, Search { req, service, tried: &tried, left });
        let placed = placed.map_err(|failure| honest(failure, attempts))?;
        tried.push(placed.key);
        trail.placed(&placed);
        attempts.begin();
        let silence = silence(req, &placed, trail.sends, left).min(left);
        let resume = req.call.resume_after;
        let sent = attempt(gateway, req, original, &placed, resume, silence).await;
        let failed = match sent {
            Ok(answering) => {
                attempts.end(Ran::Yes);
                let replaceable =
                    answering.head.status.is_server_error() && req.route.cfg.kind.may_run_again();
                if !replaceable || !again(gateway, req, service, trail) {
                    return Ok((answering, tried));
                }
                *failed_answer = Some((answering, tried.clone()));
                continue;
            }
            Err(failed) => failed,
        };
        attempts.end(failed.ran);
        if matches!(failed.fault, SendFault::NotOpened(_)) {
            // Nothing reached a backend server, so nothing counts as sent.
            trail.unsent();
            unopened += 1;
            if unopened < UNOPENED_MOST {
                continue;
            }
            return Err(honest(Failure::NoBackend, attempts));
        }
        if original.end <= clock::now() {
            return Err(Failure::Late(attempts.ran()));
        }
        let allowed = attempts.may_retry() || req.route.cfg.kind.may_run_again();
        if !allowed || !again(gateway, req, service, trail) {
            return Err(honest(Failure::Rejected, attempts));
        }
    }
}

/// Returns whether a request may be sent once more, and pays for it.
pub fn again(gateway: &Gateway, req: &Identified, service: &ServiceName, trail: &Trail) -> bool {
    if req.route.cfg.attempts <= trail.sends {
        return false;
    }
    let now = clock::now();
    let limit = gateway.repeat_limit();
    let paid = gateway.with(|state| {
        let nodes = state.members.count();
        state.repeats.entry(service.clone()).or_default().take(now, limit, nodes)
    });
    if !paid {
        tracing::info!(
            event = Event::RepeatRefused.number(),
            id = req.call.id.as_str(),
            service = service.as_str(),
            sends = trail.sends
        );
    }
    paid
}

// A refusal promises that nothing ran; where something may have, the answer has to say so.
fn honest(failure: Failure, attempts: &Attempts) -> Failure {
    if attempts.ran() == Ran::No { failure } else { Failure::Lost }
}

fn silence(req: &Identified, placed: &Place, sends: u32, left: Duration) -> Duration {
    let last = req.route.cfg.attempts <= sends;
    match req.route.cfg.kind {
        RouteKind::Idempotent if !last => {
            let most = (left / SILENCE_SHARE).max(SILENCE_LEAST);
            (placed.long_call * SILENT_TIMES + placed.wait).clamp(SILENCE_LEAST, most)
        }
        RouteKind::ResumableStream if !last => {
            ENGINE_SILENCE + placed.footprint.expected.unwrap_or_default()
        }
        _ => Duration::MAX,
    }
}

fn pass_on(
    gateway: &Arc<Gateway>,
    original: Original,
    req: Identified,
    mut answering: Answering,
    tried: Vec<WorkerKey>,
    mut trail: Trail,
) -> Response<Body> {
    let headers = gateway.platform.wire.response_headers(&answering.parts.headers);
    let status = answering.parts.status;
    let is_stream = req.route.cfg.kind.is_stream() && status.is_success();
    if !is_stream {
        answering.occupancy.note_began();
        trail.began();
    }
    if status.is_success() && req.call.prompt.is_none() {
        answering.occupancy.note_call();
    }
    let relay = Relay::new(Arc::clone(gateway), req, original, answering, tried, trail);
    let mut answer = Response::new(relay.into_body());
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    if is_stream {
        // A stream that goes on elsewhere need not be as long as the first server meant it to be.
        answer.headers_mut().remove(CONTENT_LENGTH);
    }
    answer
}
