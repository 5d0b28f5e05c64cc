//! Running calls with an idempotency key at the home of the key, or forwarding them there.

use std::{
    sync::{Arc, MutexGuard},
    time::Duration,
};

use bulrushhall_coord::{Claim, ClaimRefusal, ClaimsOptions, KeyHash, Ledger};
use bulrushhall_core::{FencingNumber, Incarnation, Ran, config::Fencing};
use bulrushhall_external::{CallFault, service::ServiceCall};
use bytes::Bytes;
use hyper::{HeaderMap, Method, header::HeaderName, header::HeaderValue};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep},
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    callers::{
        ApiCode, ApiError,
        sent::{Repeat, Sent},
    },
    carried,
    context::Context,
    keyed::{Bind, ClaimKey, KeyedCall, KeyedReply, StoredResponse},
    members::Member,
};

/// A `KeyedResult` is the response of the service or a typed error.
pub type KeyedResult = Result<StoredResponse, ApiError>;

/// The pause between two checks of a running call.
const POLL_PAUSE: Duration = Duration::from_millis(10);
/// How long a reply to a node that forwarded a call is held back before that node has to ask again.
const MAX_REPLY_WAIT: Duration = Duration::from_millis(800);
/// The time that a call may take in addition to the timeout of its service.
const CALL_GRACE: Duration = Duration::from_secs(2);
/// After which time a caller that was refused because of an outage may retry.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Runs a call with an idempotency key at most once, whichever node is the home of the key.
pub async fn call(cx: &Arc<Context>, call: KeyedCall) -> KeyedResult {
    let until = Instant::now() + timeout_of(cx, &call) + CALL_GRACE;
    loop {
        match try_call(cx, &call).await {
            KeyedReply::Answered(stored) => return Ok(stored),
            KeyedReply::Failed(error) => return Err(error),
            KeyedReply::Running if until <= Instant::now() => {
                let message = "a call with this key still runs";
                return Err(ApiError::not_run(ApiCode::KeyInProgress, message).ran(Ran::Unknown));
            }
            KeyedReply::Running => sleep(POLL_PAUSE).await,
        }
    }
}

/// Handles a call that another node has forwarded.
pub(super) async fn handle_forwarded(cx: &Arc<Context>, call: KeyedCall) -> KeyedReply {
    match call.ticket {
        Some(_) => run_at_home(cx, &call).await,
        None if cx.is_leaving() => KeyedReply::Failed(leaving_error(Ran::Unknown)),
        None => try_call(cx, &call).await,
    }
}

async fn try_call(cx: &Arc<Context>, call: &KeyedCall) -> KeyedReply {
    let home = match call.ticket {
        Some(home) => home,
        None if cx.is_leaving() => match first_remaining_member(cx) {
            Some(member) => return forward(cx, call, member).await,
            None => return KeyedReply::Failed(leaving_error(Ran::Unknown)),
        },
        None => match bind(cx, call).await {
            Ok(home) => home,
            Err(error) => return KeyedReply::Failed(error),
        },
    };
    if home == cx.incarnation {
        return run_at_home(cx, call).await;
    }
    match cx.members.find(home) {
        Some(member) => {
            let call = KeyedCall { ticket: Some(home), ..call.clone() };
            forward(cx, &call, member).await
        }
        None => KeyedReply::Failed(home_unreachable(home)),
    }
}

async fn bind(cx: &Context, call: &KeyedCall) -> Result<Incarnation, ApiError> {
    let key = KeyHash::new(&call.team, &call.key);
    let mut bound = None;
    // Nodes that write the same record at the same time make each other's writes fail. So one node,
    // on which all usually agree, writes for all of them; if they disagree or that node is dead,
    // the compare-and-swap still decides.
    if let Some(writer) = writer_of(cx, key) {
        let claim = ClaimKey { key: key.0, home: cx.incarnation };
        bound = cx.peers.send(cx, writer.peers, Some(writer.incarnation), claim).await.ok();
    }
    let bound = match bound.flatten() {
        Some(home) => Some(Ok(home)),
        None => claim_locally(cx, key, cx.incarnation).await,
    };
    // An earlier attempt with this key may have run at another node, so this node cannot report
    // that the call was not run.
    let refused = |code, message| ApiError::not_run(code, message).ran(Ran::Unknown);
    match bound {
        Some(Ok(home)) => Ok(home),
        Some(Err(ClaimRefusal::Full)) => {
            let message = "no more keys can be remembered now; use a ticket";
            Err(refused(ApiCode::Overloaded, message).retry_after(OUTAGE_RETRY_AFTER))
        }
        Some(Err(ClaimRefusal::Outage)) | None => {
            let message = "the key could not be claimed now; use a ticket";
            Err(refused(ApiCode::Unavailable, message).retry_after(OUTAGE_RETRY_AFTER))
        }
    }
}

/// Claims a key for `home` at this node and returns the home of the key.
pub(super) async fn claim_locally(
    cx: &Context,
    key: KeyHash,
    home: Incarnation,
) -> Option<Result<Incarnation, ClaimRefusal>> {
    let (tx, bound) = oneshot::channel();
    cx.claimer.send(Bind { key, proposed_home: home, home: tx }).await.ok()?;
    bound.await.ok()
}

fn writer_of(cx: &Context, key: KeyHash) -> Option<Member> {
    let shard = ClaimsOptions::default().shard_of(key);
    let rank = |node: Incarnation| xxh3_64_with_seed(&node.0.to_le_bytes(), u64::from(shard.0));
    let members = cx.members.current();
    let candidates = members.iter().filter(|member| !member.leaving);
    let best = candidates.min_by_key(|member| rank(member.incarnation))?;
    (rank(best.incarnation) < rank(cx.incarnation)).then(|| best.clone())
}

async fn forward(cx: &Context, call: &KeyedCall, to: Member) -> KeyedReply {
    let reply = cx.peers.send(cx, to.peers, Some(to.incarnation), call.clone()).await;
    reply.unwrap_or_else(|error| match error.fault {
        CallFault::Timeout => KeyedReply::Running,
        _ => KeyedReply::Failed(home_unreachable(to.incarnation)),
    })
}

// The ledger of this node incarnation alone decides whether the call of the key runs; no other node
// runs it.
async fn run_at_home(cx: &Arc<Context>, call: &KeyedCall) -> KeyedReply {
    if call.ticket.is_some_and(|home| home != cx.incarnation) {
        return KeyedReply::Failed(home_unreachable(cx.incarnation));
    }
    let text = [call.service.as_str().as_bytes(), call.method.as_bytes(), call.path.as_bytes()];
    let hash = xxh3_64(&[&text.join(&b'\n')[..], b"\n", &call.body].concat());
    let known = ledger(cx).get(&call.team, &call.key, hash);
    if known.is_none() && cx.is_leaving() {
        return KeyedReply::Failed(leaving_error(Ran::No));
    }
    let claim = ledger(cx).claim(cx.clock.now(), &call.team, &call.key, hash);
    if claim == Claim::Run {
        // The caller may disconnect at any time. The call runs in a task of its own, so that its
        // outcome is still recorded and a retry receives it.
        tokio::spawn(run(Arc::clone(cx), call.clone()));
    }
    let until = Instant::now() + MAX_REPLY_WAIT;
    loop {
        let known = ledger(cx).get(&call.team, &call.key, hash);
        if let Some(reply) = reply_of(cx, known.as_ref(), &claim) {
            return reply;
        }
        if until <= Instant::now() {
            return KeyedReply::Running;
        }
        sleep(POLL_PAUSE).await;
    }
}

fn reply_of(cx: &Context, known: Option<&Claim>, claim: &Claim) -> Option<KeyedReply> {
    let failed = |code, message: &str, ran| {
        Some(KeyedReply::Failed(ApiError::not_run(code, message).ran(ran)))
    };
    if *claim == Claim::Full {
        return failed(ApiCode::Overloaded, "no more keys can be remembered now", Ran::No);
    }
    match known {
        Some(Claim::Running | Claim::Run) => None,
        Some(Claim::Settled(ran, stored)) => {
            let stored = stored.as_ref().and_then(|bytes| StoredResponse::decode(bytes));
            match stored {
                Some(stored) => Some(KeyedReply::Answered(stored)),
                None => failed(ApiCode::BackendFailed, "the call ended without an answer", *ran),
            }
        }
        Some(Claim::OtherBody) => {
            // A different call may have run under the key; this one has not.
            failed(ApiCode::KeyReused, "the key was used for another call", Ran::No)
        }
        Some(Claim::Full) => None,
        // The call was certainly not run, so its key is free again.
        None if cx.is_leaving() => Some(KeyedReply::Failed(leaving_error(Ran::No))),
        None => failed(ApiCode::Unavailable, "no backend server could be reached", Ran::No),
    }
}

async fn run(cx: Arc<Context>, call: KeyedCall) {
    let in_force = cx.in_force();
    let cfg = in_force.deployment.services.get(&call.service);
    let fence = cfg.filter(|cfg| cfg.fencing == Fencing::Checked);
    let fence = fence.map(|_| FencingNumber(in_force.revision.0));
    let mut ended = Sent::default();
    if let Some(request) = service_call(&call, fence) {
        // Without a server nothing runs, and the settled claim says so.
        let sent = carried::send(&cx, &call.service, request, Repeat::AfterNotRun).await;
        ended = sent.unwrap_or_default();
    }
    let stored = ended.response.filter(|_| ended.ran == Ran::Yes);
    let stored = stored.map(|response| StoredResponse::of(&response).encode());
    let now = cx.clock.now();
    ledger(&cx).settle(now, &call.team, &call.key, ended.ran, stored);
}

fn service_call(call: &KeyedCall, fence: Option<FencingNumber>) -> Option<ServiceCall> {
    let headers = headers_of(&call.headers)?;
    let method = Method::from_bytes(call.method.as_bytes()).ok()?;
    let (path, body) = (call.path.clone(), call.body.clone());
    Some(ServiceCall { method, path, headers, body, fence })
}

fn timeout_of(cx: &Context, call: &KeyedCall) -> Duration {
    let in_force = cx.in_force();
    let cfg = in_force.deployment.services.get(&call.service);
    cfg.map_or(Duration::ZERO, |cfg| cfg.timeout.into())
}

fn first_remaining_member(cx: &Context) -> Option<Member> {
    cx.members.current().iter().find(|member| !member.leaving).cloned()
}

fn leaving_error(ran: Ran) -> ApiError {
    let error = ApiError::not_run(ApiCode::Leaving, "the node takes no new work");
    error.ran(ran).retry_after(Duration::from_secs(1))
}

fn home_unreachable(home: Incarnation) -> ApiError {
    let message = format!("the node's life {home} that alone may run this key can't be reached");
    ApiError::not_run(ApiCode::StaleTicket, message).ran(Ran::Unknown)
}

fn ledger(cx: &Context) -> MutexGuard<'_, Ledger> {
    cx.ledger.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Returns headers that were forwarded by a node; none if one is malformed.
pub(crate) fn headers_of(pairs: &[(String, Bytes)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}

/// Returns the headers of a call in the form in which nodes forward them.
pub(crate) fn portable_headers(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let pairs = headers.iter();
    pairs
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}
