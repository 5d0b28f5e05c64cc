//! The filter that runs an accepted request on engines until its answer is whole.

use std::{sync::Arc, time::Duration};

use bulrushhall_coord::Version;
use bulrushhall_core::{Event, FencingNumber};
use bulrushhall_external::{
    CallError, CallFault, Engine,
    engine::{Frame, Generate, Usage},
};
use bulrushhall_policy::{Ticket, WorkerKey};
use bytes::Bytes;
use futures_util::StreamExt;
use tracing::Instrument;

use crate::{
    answers::{Answer, AnswerEnd, Evacuate},
    backends::BackendClient,
    callers::{
        ApiCode, ApiError,
        admit::{self, Pending, Standing},
        classify::Classified,
        settle,
    },
    context::Context,
    dispatcher::{Finished, FirstToken, Start},
    handoff::{Cause, Portable, Produced},
    meters::Metric,
    telemetry::with_parent,
};

/// The pause before the next attempt when no engine takes work or one has just failed.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The attempts that are counted for one epoch of ownership, so that a later owner's are higher.
const ATTEMPTS_PER_EPOCH: u32 = 1_000;

/// A `Run` is an owned request that is to be run to its end.
pub struct Run {
    /// What it asks for.
    pub portable: Portable,
    /// Its answer, which fills as tokens are copied.
    pub answer: Arc<Answer>,
    /// The version under which the node owns it.
    pub version: Version,
    /// The tokens that an earlier owner has produced.
    pub emitted: Vec<String>,
    /// Why an earlier owner's run goes on here.
    pub cause: Cause,
}

/// Does what [`run`] does, in a span that belongs to the request's trace at each of its owners.
pub async fn traced(cx: Arc<Context>, run: Run, pending: Option<Pending>) {
    let (node, cause) = (&cx.settings.node.name, run.cause.word());
    let span = tracing::info_span!("run", %node, request = %run.answer.id(), cause);
    let span = with_parent(span, run.portable.trace_parent.as_deref());
    self::run(cx, run, pending).instrument(span).await;
}

/// Runs a request to its end, or until the node doesn't own it any more.
pub async fn run(cx: Arc<Context>, mut run: Run, mut pending: Option<Pending>) {
    let answer = Arc::clone(&run.answer);
    let deadline = cx.clock.now() + run.portable.request.deadline;
    let mut avoid = Vec::new();
    let mut attempt = 0;
    let mut cache = None;

    while answer.ended().is_none() && !answer.is_halted() {
        if deadline <= cx.clock.now() {
            settle::fail(&cx, &answer, expired(&answer)).await;
            return;
        }
        let request = &run.portable.request;
        let asked = match pending.take() {
            Some(pending) => Ok(pending),
            None => admit::ask(&cx, answer.team(), request, Standing::Accepted, &avoid).await,
        };
        let Ok(asked) = asked else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let start = asked.start.await.unwrap_or(Start::NoWorker);
        let worker = match start {
            Start::On(key) => Some(key),
            Start::NoWorker => None,
            Start::Expired => {
                settle::fail(&cx, &answer, expired(&answer)).await;
                return;
            }
        };

        let service = request.service.clone();
        let ended = match worker {
            Some(key) if !answer.is_halted() => {
                let generate = generate(&run, attempt);
                let span = tracing::info_span!("attempt", number = attempt);
                attempt += 1;
                if let Some(cache) = cache.take() {
                    put_cache(&cx, key, cache).await;
                }
                answer.set_place(worker);
                let ended = tokio::select! {
                    ended = one_attempt(&cx, &mut run, key, asked.ticket, generate).instrument(span) => ended,
                    () = answer.halted() => AttemptEnd::failed(CallFault::Closed),
                };
                answer.set_place(None);
                ended
            }
            _ => AttemptEnd::Failed(CallError::not_done(CallFault::Connect)),
        };
        let finished = Finished { service, ticket: asked.ticket, worker };
        let _ = cx.dispatcher.send(finished).await;

        match ended {
            AttemptEnd::Whole(usage) => {
                cx.recomputed.add(run.cause, usage.recomputed_tokens);
                let labels = [("cause", run.cause.word())];
                let tokens = u64::from(usage.recomputed_tokens);
                cx.meters.count(Metric::RecomputedTokens, &labels, tokens);
                settle::whole(&cx, &answer, usage).await;
                return;
            }
            _ if answer.is_halted() => cancel_at(&cx, &answer, worker).await,
            AttemptEnd::Evacuated(exported) => {
                run.cause = Cause::Reclaim;
                cache = exported;
                avoid.extend(worker);
            }
            AttemptEnd::Failed(error) => {
                cx.meters.count(Metric::FailedAttempts, &[("class", answer.class().as_str())], 1);
                tracing::info!(event = Event::AttemptFailed.number(), request = %answer.id(), %error);
                run.cause = Cause::Engine;
                avoid.extend(worker);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn generate(run: &Run, attempt: u32) -> Generate {
    let Classified { model, prompt, .. } = &run.portable.request;
    let Classified { max_tokens, priority, .. } = run.portable.request;
    let attempt = run.version.epoch.saturating_sub(1) * ATTEMPTS_PER_EPOCH + attempt;
    Generate {
        request: run.answer.id(),
        attempt,
        model: model.clone(),
        prompt: prompt.clone(),
        emitted: run.emitted.clone(),
        max_tokens,
        priority,
        fence: FencingNumber(u64::from(attempt)),
    }
}

enum AttemptEnd {
    Whole(Usage),
    Failed(CallError),
    /// The engine's VM is taken back; its KV cache of the request is here if it could be got.
    Evacuated(Option<Bytes>),
}

impl AttemptEnd {
    fn failed(fault: CallFault) -> AttemptEnd {
        AttemptEnd::Failed(CallError::unknown(fault))
    }
}

async fn one_attempt(
    cx: &Context,
    run: &mut Run,
    key: WorkerKey,
    ticket: Ticket,
    generate: Generate,
) -> AttemptEnd {
    let gone = || AttemptEnd::Failed(CallError::not_done(CallFault::Connect));
    let Some(backend) = cx.backends.get(key) else { return gone() };
    let BackendClient::Engine(engine) = backend.client else { return gone() };
    run.answer.set_started();
    let mut frames = match engine.generate(generate).await {
        Ok(frames) => frames,
        Err(error) => return AttemptEnd::Failed(error),
    };
    let mut first = Some(FirstToken { service: backend.service, ticket });
    let answer = Arc::clone(&run.answer);
    let mut evacuated = std::pin::pin!(exported(&answer, engine.as_ref()));
    loop {
        // The engine goes on writing while its cache is being read.
        let frame = tokio::select! {
            frame = frames.next() => frame,
            cache = &mut evacuated => return AttemptEnd::Evacuated(cache),
        };
        match frame {
            Some(Ok(Frame::Token(token))) => {
                if let Some(first) = first.take() {
                    let _ = cx.dispatcher.send(first).await;
                }
                run.emitted.push(token.clone());
                let produced = Produced { id: answer.id(), version: run.version, token };
                if !cx.ownership.send(produced).await.unwrap_or(false) {
                    answer.halt();
                    return AttemptEnd::failed(CallFault::Closed);
                }
            }
            Some(Ok(Frame::Done(usage))) => return AttemptEnd::Whole(usage),
            Some(Err(error)) => return AttemptEnd::Failed(error),
            None => return AttemptEnd::failed(CallFault::Closed),
        }
    }
}

// Waits until the run has to leave its engine, and gets its KV cache if that is to be moved.
async fn exported(answer: &Answer, engine: &dyn Engine) -> Option<Bytes> {
    let mut evacuation = answer.evacuation();
    let how = evacuation.wait_for(|how| *how != Evacuate::Stay).await.map(|how| *how);
    match how {
        Ok(Evacuate::Move) => {}
        Ok(Evacuate::Resume) => return None,
        Ok(Evacuate::Stay) | Err(_) => return std::future::pending().await,
    }
    tokio::select! {
        cache = engine.export_cache(answer.id()) => cache.ok(),
        // The notice is over; what has not been read by now never will be.
        _ = evacuation.wait_for(|how| *how == Evacuate::Resume) => None,
    }
}

// Without its cache the request is resumed all the same, at the price of computing it anew.
async fn put_cache(cx: &Context, key: WorkerKey, cache: Bytes) {
    let Some(backend) = cx.backends.get(key) else { return };
    let BackendClient::Engine(engine) = backend.client else { return };
    let _ = engine.import_cache(cache).await;
}

// The engine stops when its reader goes; one whose connection has gone silent does not notice
// that, and is told.
async fn cancel_at(cx: &Context, answer: &Answer, worker: Option<WorkerKey>) {
    let Some(backend) = worker.and_then(|key| cx.backends.get(key)) else { return };
    let BackendClient::Engine(engine) = backend.client else { return };
    let _ = engine.cancel(answer.id()).await;
}

fn expired(answer: &Answer) -> AnswerEnd {
    let error = ApiError::not_run(ApiCode::DeadlinePassed, "the deadline has passed");
    AnswerEnd::Failed(error.ran(answer.ran()))
}
