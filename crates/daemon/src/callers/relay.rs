//! The filter that runs an accepted request on engines until its answer is whole.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::{Event, Fence};
use bulrushhall_platform::{
    CallError, CallFault,
    engine::{Frame, Generate, Usage},
};
use bulrushhall_policy::WorkerKey;
use futures_util::StreamExt;

use crate::{
    answers::{Answer, AnswerEnd},
    backends::BackendClient,
    callers::{
        ApiCode, ApiError,
        admit::{self, Accepted, Pending, Standing},
        settle,
    },
    context::Context,
    dispatcher::{Finished, Start},
    meters::Metric,
};

/// The pause before the next attempt when no engine takes work or one has just failed.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Runs a request to its end.
pub async fn run(cx: Arc<Context>, accepted: Accepted, pending: Pending) {
    let Accepted { request, answer } = accepted;
    let deadline = cx.clock.now() + request.deadline;
    let mut pending = Some(pending);
    let mut avoid = Vec::new();
    let mut attempt = 0;

    while answer.ended().is_none() {
        if deadline <= cx.clock.now() {
            settle::fail(&cx, &answer, expired(&answer));
            return;
        }
        let asked = match pending.take() {
            Some(pending) => Ok(pending),
            None => admit::ask(&cx, answer.team(), &request, Standing::Accepted, &avoid).await,
        };
        let Ok(asked) = asked else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let start = asked.start.await.unwrap_or(Start::Nowhere);
        let worker = match start {
            Start::On(key) => Some(key),
            Start::Nowhere => None,
            Start::Expired => {
                settle::fail(&cx, &answer, expired(&answer));
                return;
            }
        };

        let ended = match worker {
            Some(key) => {
                let generate = Generate {
                    request: answer.id(),
                    attempt,
                    model: request.model.clone(),
                    prompt: request.prompt.clone(),
                    emitted: answer.tokens(),
                    max_tokens: request.max_tokens,
                    priority: request.priority,
                    fence: Fence(u64::from(attempt)),
                };
                attempt += 1;
                one_attempt(&cx, &answer, key, generate).await
            }
            None => Err(CallError::not_done(CallFault::Connect)),
        };
        let finished = Finished { service: request.service.clone(), ticket: asked.ticket, worker };
        let _ = cx.dispatcher.send(finished).await;

        match ended {
            Ok(usage) => settle::whole(&cx, &answer, usage),
            Err(error) => {
                cx.meters.count(Metric::FailedAttempts, &[("class", answer.class().as_str())], 1);
                tracing::info!(event = Event::AttemptFailed.number(), request = %answer.id(), %error);
                avoid.extend(worker);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn one_attempt(
    cx: &Context,
    answer: &Answer,
    key: WorkerKey,
    generate: Generate,
) -> Result<Usage, CallError> {
    let gone = || CallError::not_done(CallFault::Connect);
    let backend = cx.backends.get(key).ok_or_else(gone)?;
    let BackendClient::Engine(engine) = backend.client else { return Err(gone()) };
    let mut frames = engine.generate(generate).await?;
    while let Some(frame) = frames.next().await {
        match frame? {
            Frame::Token(token) => answer.push(token),
            Frame::Done(usage) => return Ok(usage),
        }
    }
    Err(CallError::unknown(CallFault::Closed))
}

fn expired(answer: &Answer) -> AnswerEnd {
    let error = ApiError::not_run(ApiCode::DeadlinePassed, "the deadline has passed");
    AnswerEnd::Failed(error.ran(answer.ran()))
}
