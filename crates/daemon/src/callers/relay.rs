//! The filter that runs an accepted request on engines until its answer is complete.

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
    answers::{Answer, AnswerEnd, EvacuationState},
    backends::BackendClient,
    callers::{
        ApiCode, ApiError,
        admit::{self, AdmissionStatus, EligibleEngines, QueuedRequest},
        classify::Classified,
        settle,
    },
    context::Context,
    crashes::{self, SentTo},
    dispatcher::{Finished, FirstToken, Start},
    handoff::{Cause, Portable, TokenGenerated},
    meters::Metric,
    telemetry::with_parent,
};

/// The pause before the next attempt when no engine takes work or an attempt has just failed.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The pause before it is checked again whether a request under which engines crash may be tried.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);
/// How many attempt numbers are reserved for each epoch of ownership, so that those of a later owner
/// are higher.
const ATTEMPTS_PER_EPOCH: u32 = 1_000;

/// A `Run` is an owned request that is to be run to completion.
pub struct Run {
    /// The request.
    pub portable: Portable,
    /// Its answer, to which tokens are added once they are copied.
    pub answer: Arc<Answer>,
    /// The version under which this node owns it.
    pub version: Version,
    /// The tokens that earlier attempts and owners have produced.
    pub emitted: Vec<String>,
    /// The software version of the engine that produced the first of them; none if there are none, or if it is not known.
    pub origin: Option<String>,
    /// Why the run was last resumed; `Cause::Engine` if it has not been.
    pub cause: Cause,
}

/// Calls [`run`] in a span that belongs to the trace of the request, whichever node accepted it.
pub async fn run_traced(cx: Arc<Context>, run: Run, queued: Option<QueuedRequest>) {
    let (node, cause) = (&cx.settings.node.name, run.cause.as_str());
    let span = tracing::info_span!("run", %node, request = %run.answer.id(), cause);
    let span = with_parent(span, run.portable.trace_parent.as_deref());
    self::run(cx, run, queued).instrument(span).await;
}

/// Runs a request to completion, or until this node stops owning it.
pub async fn run(cx: Arc<Context>, mut run: Run, mut queued: Option<QueuedRequest>) {
    let answer = Arc::clone(&run.answer);
    let deadline = cx.clock.now() + run.portable.request.deadline;
    let mut engines = EligibleEngines::default();
    let mut attempt = 0;
    let mut kv_cache = None;
    let digest = crashes::request_digest(&run.portable.request);
    let mut is_admitted = queued.is_some();

    while answer.ended().is_none() && !answer.is_halted() {
        if deadline <= cx.clock.now() {
            settle::fail(&cx, &answer, deadline_error(&answer)).await;
            return;
        }
        // A new request was just admitted, perhaps as the one that shows whether engines still crash.
        if !std::mem::take(&mut is_admitted)
            && let Some(refusal) = crashes::refusal(&cx, digest)
        {
            if refusal.probe_at.is_some_and(|at| at < deadline) {
                tokio::time::sleep(REFUSED_PAUSE).await;
                continue;
            }
            settle::fail(&cx, &answer, AnswerEnd::Failed(refusal.error.ran(answer.ran()))).await;
            return;
        }
        match eligible_engines(&cx, &mut run) {
            Some(only) => engines.only = only,
            None => {
                settle::fail(&cx, &answer, version_unavailable(&answer)).await;
                return;
            }
        }
        let request = &run.portable.request;
        let queued_request = match queued.take() {
            Some(queued) => Ok(queued),
            None => {
                let status = AdmissionStatus::Accepted;
                admit::enqueue(&cx, answer.team(), request, status, &engines).await
            }
        };
        let Ok(queued_request) = queued_request else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let start = queued_request.start.await.unwrap_or(Start::NoWorker);
        let worker = match start {
            Start::On(key) => Some(key),
            Start::NoWorker => None,
            Start::Expired => {
                settle::fail(&cx, &answer, deadline_error(&answer)).await;
                return;
            }
        };

        let service = request.service.clone();
        let sent_at = cx.clock.now();
        let is_whole = run.emitted.is_empty();
        let ended = match worker {
            Some(key) if !answer.is_halted() => {
                let generate = generate(&run, attempt);
                let span = tracing::info_span!("attempt", number = attempt);
                attempt += 1;
                if let Some(cache) = kv_cache.take() {
                    import_kv_cache(&cx, key, cache).await;
                }
                answer.set_worker(worker);
                let ended = tokio::select! {
                    ended = run_attempt(&cx, &mut run, key, queued_request.ticket, generate).instrument(span) => ended,
                    () = answer.halted() => AttemptEnd::failed(CallFault::Closed),
                };
                answer.set_worker(None);
                ended
            }
            _ => AttemptEnd::Failed(CallError::not_done(CallFault::Connect)),
        };
        let finished = Finished { service, ticket: queued_request.ticket, worker };
        let _ = cx.dispatcher.send(finished).await;

        match ended {
            AttemptEnd::Complete(usage) => {
                if is_whole {
                    crashes::note_answered(&cx, sent_at, digest);
                }
                cx.recomputed.add(run.cause, usage.recomputed_tokens);
                let labels = [("cause", run.cause.as_str())];
                let tokens = u64::from(usage.recomputed_tokens);
                cx.meters.count(Metric::RecomputedTokens, &labels, tokens);
                settle::complete(&cx, &answer, usage).await;
                return;
            }
            _ if answer.is_halted() => cancel_on_engine(&cx, &answer, worker).await,
            AttemptEnd::Evacuated(exported) => {
                run.cause = Cause::Reclaim;
                kv_cache = exported;
                engines.avoid.extend(worker);
            }
            AttemptEnd::Failed(error) => {
                cx.meters.count(Metric::FailedAttempts, &[("class", answer.class().as_str())], 1);
                tracing::info!(event = Event::AttemptFailed.number(), request = %answer.id(), %error);
                run.cause = Cause::Engine;
                engines.avoid.extend(worker);
                if let Some(backend) = worker.and_then(|key| cx.backends.get(key)) {
                    let sent = SentTo { digest, backend: &backend, at: sent_at };
                    crashes::note_failed(&cx, sent, &error).await;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

// Returns the engines on which a run may go on, an empty list being all of them: the tokens of two software versions do not
// fit together. Returns none if no engine of the version that began the answer is left.
fn eligible_engines(cx: &Context, run: &mut Run) -> Option<Vec<WorkerKey>> {
    if run.emitted.is_empty() {
        return Some(Vec::new());
    }
    let known = cx.backends.of(&run.portable.request.service);
    let has_other = |version: &str| known.iter().any(|(_, backend)| backend.version != version);
    if run.origin.is_none() {
        // An owner of an earlier version of the daemon does not tell where the answer began.
        let (_, first) = known.first()?;
        run.origin = (!has_other(&first.version)).then(|| first.version.clone());
    }
    let origin = run.origin.as_deref()?;
    if !has_other(origin) {
        return Some(Vec::new());
    }
    let mut engines = Vec::new();
    for (key, backend) in &known {
        if backend.version == origin && !cx.backends.is_closed(&backend.vm) {
            engines.push(*key);
        }
    }
    (!engines.is_empty()).then_some(engines)
}

fn version_unavailable(answer: &Answer) -> AnswerEnd {
    let message = "no engine of the software version that began the answer is left";
    let error = ApiError::not_run(ApiCode::BackendFailed, message);
    AnswerEnd::Failed(error.ran(answer.ran()))
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
    Complete(Usage),
    Failed(CallError),
    /// The VM of the engine is being reclaimed; holds the request's KV cache if it could be
    /// exported.
    Evacuated(Option<Bytes>),
}

impl AttemptEnd {
    fn failed(fault: CallFault) -> AttemptEnd {
        AttemptEnd::Failed(CallError::unknown(fault))
    }
}

async fn run_attempt(
    cx: &Context,
    run: &mut Run,
    key: WorkerKey,
    ticket: Ticket,
    generate: Generate,
) -> AttemptEnd {
    let no_engine = || AttemptEnd::Failed(CallError::not_done(CallFault::Connect));
    let Some(backend) = cx.backends.get(key) else { return no_engine() };
    let BackendClient::Engine(engine) = backend.client else { return no_engine() };
    // The server may have started anew with another version since it was chosen.
    if !run.emitted.is_empty() && run.origin.as_ref() != Some(&backend.version) {
        return no_engine();
    }
    run.answer.set_started();
    let mut frames = match engine.generate(generate).await {
        Ok(frames) => frames,
        Err(error) => return AttemptEnd::Failed(error),
    };
    let mut first = Some(FirstToken { service: backend.service, ticket });
    let answer = Arc::clone(&run.answer);
    let mut evacuation = std::pin::pin!(export_on_evacuation(&answer, engine.as_ref()));
    loop {
        // The engine keeps generating while its cache is being exported.
        let frame = tokio::select! {
            frame = frames.next() => frame,
            cache = &mut evacuation => return AttemptEnd::Evacuated(cache),
        };
        match frame {
            Some(Ok(Frame::Token(token))) => {
                if let Some(first) = first.take() {
                    let _ = cx.dispatcher.send(first).await;
                }
                if run.emitted.is_empty() {
                    run.origin = Some(backend.version.clone());
                }
                run.emitted.push(token.clone());
                let origin = backend.version.clone();
                let (id, version) = (answer.id(), run.version);
                let generated = TokenGenerated { id, version, token, origin };
                if !cx.ownership.send(generated).await.unwrap_or(false) {
                    answer.halt();
                    return AttemptEnd::failed(CallFault::Closed);
                }
            }
            Some(Ok(Frame::Done(usage))) => return AttemptEnd::Complete(usage),
            Some(Err(error)) => return AttemptEnd::Failed(error),
            None => return AttemptEnd::failed(CallFault::Closed),
        }
    }
}

// Waits until the run has to leave its engine, and exports the KV cache if it is to be moved.
async fn export_on_evacuation(answer: &Answer, engine: &dyn Engine) -> Option<Bytes> {
    let mut evacuation = answer.evacuation();
    let state =
        evacuation.wait_for(|state| *state != EvacuationState::Stay).await.map(|state| *state);
    match state {
        Ok(EvacuationState::Move) => {}
        Ok(EvacuationState::Resume) => return None,
        Ok(EvacuationState::Stay) | Err(_) => return std::future::pending().await,
    }
    tokio::select! {
        cache = engine.export_cache(answer.id()) => cache.ok(),
        // The notice period is over; an export that has not finished by now is given up.
        _ = evacuation.wait_for(|state| *state == EvacuationState::Resume) => None,
    }
}

// An import that fails is ignored: the request is then resumed at the cost of recomputing its
// cache.
async fn import_kv_cache(cx: &Context, key: WorkerKey, cache: Bytes) {
    let Some(backend) = cx.backends.get(key) else { return };
    let BackendClient::Engine(engine) = backend.client else { return };
    let _ = engine.import_cache(cache).await;
}

// An engine stops when the connection is closed. One whose connection has gone silent does not see
// that, so it gets an explicit cancellation.
async fn cancel_on_engine(cx: &Context, answer: &Answer, worker: Option<WorkerKey>) {
    let Some(backend) = worker.and_then(|key| cx.backends.get(key)) else { return };
    let BackendClient::Engine(engine) = backend.client else { return };
    let _ = engine.cancel(answer.id()).await;
}

fn deadline_error(answer: &Answer) -> AnswerEnd {
    let error = ApiError::not_run(ApiCode::DeadlinePassed, "the deadline has passed");
    AnswerEnd::Failed(error.ran(answer.ran()))
}
