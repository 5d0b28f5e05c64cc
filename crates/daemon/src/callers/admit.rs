//! The third filter: whether a request is accepted.

use std::sync::Arc;

use bulrushhall_coord::{CopyLocation, Version};
use bulrushhall_core::{Ran, TeamName};
use bulrushhall_policy::{
    AdmissionRequest, PlacementRequest, Ticket, WorkerKey, prefix::block_hashes,
};
use tokio::sync::oneshot;
use tracing::Instrument;

use crate::{
    answers::Answer,
    callers::{
        ApiCode, ApiError,
        classify::Classified,
        limit::Place,
        relay::{self, Run},
    },
    context::Context,
    dispatcher::{Start, Submit, Verdict},
    handoff::{Accept, Cause, Portable},
    meters::Metric,
    telemetry::trace_parent,
};

/// Accepts a request and starts its run, or refuses it.
pub async fn admit(
    cx: &Arc<Context>,
    team: TeamName,
    request: Classified,
) -> Result<Arc<Answer>, ApiError> {
    if cx.is_leaving() {
        return Err(ApiError::not_run(ApiCode::Leaving, "the node takes no new work"));
    }
    let mut place = Place::take(cx, &team, &request)?;
    let pending = ask(cx, &team, &request, Standing::New, &[]).await?;
    let id = cx.next_request();
    let portable = Portable { team, request, trace_parent: trace_parent() };
    let answer = portable.answer(id);
    let malformed = |_| ApiError::not_run(ApiCode::InvalidValue, "the request cannot be encoded");
    let body = portable.encode().map_err(malformed)?;
    cx.answers.insert(Arc::clone(&answer));

    let (copied_tx, copied) = oneshot::channel();
    let accept = Accept { id, body, copied: copied_tx };
    let stopping = |_| ApiError::not_run(ApiCode::Leaving, "the node is stopping");
    cx.ownership.send(accept).await.map_err(stopping)?;
    let version = Version { epoch: 1, generation: 0, owner: cx.incarnation };
    let emitted = Vec::new();
    let run = Run { portable, answer: Arc::clone(&answer), version, emitted, cause: Cause::Engine };
    place.accept();
    let running = relay::traced(Arc::clone(cx), run, Some(pending));
    tokio::spawn(
        async move {
            running.await;
            drop(place);
        }
        .in_current_span(),
    );

    // The caller is told nothing before a peer has a copy: what it is told is accepted must
    // outlive this node. The run starts meanwhile, so the copy costs no time to the first token.
    let stopped = |_| {
        let error = ApiError::not_run(ApiCode::Leaving, "the node is stopping");
        error.ran(Ran::Unknown)
    };
    if copied.await.map_err(stopped)? == CopyLocation::Nowhere {
        answer.set_uncopied();
        cx.meters.count(Metric::Uncopied, &[], 1);
    }
    Ok(answer)
}

/// A `Pending` is a request that waits for its place.
pub struct Pending {
    /// Its ticket.
    pub ticket: Ticket,
    /// Gets the place once there is one.
    pub start: oneshot::Receiver<Start>,
}

/// A `Standing` tells whether a request may still be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may.
    New,
    /// It was accepted before and must be run.
    Accepted,
}

/// Asks for a place in the queue.
pub async fn ask(
    cx: &Context,
    team: &TeamName,
    request: &Classified,
    standing: Standing,
    avoid: &[WorkerKey],
) -> Result<Pending, ApiError> {
    let now = cx.clock.now();
    let (accepted_tx, accepted) = oneshot::channel();
    let (start_tx, start) = oneshot::channel();
    let submit = Submit {
        service: request.service.clone(),
        admission: AdmissionRequest {
            team: team.clone(),
            priority: request.priority,
            tokens: request.prompt_tokens + request.max_tokens,
            first_token_by: now + request.first_token,
            deadline: now + request.deadline,
            accepted: standing == Standing::Accepted,
        },
        req: PlacementRequest {
            prefix: block_hashes(&request.prompt),
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.max_tokens,
            avoid: avoid.to_vec(),
            ..PlacementRequest::default()
        },
        accepted: accepted_tx,
        start: start_tx,
    };
    let gone = || ApiError::not_run(ApiCode::Leaving, "the node is stopping").ran(Ran::No);
    cx.dispatcher.send(submit).await.map_err(|_| gone())?;
    match accepted.await.map_err(|_| gone())? {
        Verdict::Accepted(ticket) => Ok(Pending { ticket, start }),
        Verdict::Refused(after) => {
            let error = ApiError::not_run(ApiCode::Overloaded, "the queue is full");
            Err(error.retry_after(after))
        }
    }
}
