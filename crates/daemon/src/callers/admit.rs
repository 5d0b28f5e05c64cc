//! The admission filter: accepts a request, or refuses it.

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
        limit::TeamReservation,
        relay::{self, Run},
    },
    context::Context,
    crashes,
    dispatcher::{Start, Submit, Verdict},
    handoff::{Accept, Cause, Portable},
    meters::Metric,
    telemetry::trace_parent,
};

/// How many times its size a prompt takes.
const PROMPT_COPIES: usize = 2;

/// Accepts a request and starts running it, or refuses it.
pub async fn admit(
    cx: &Arc<Context>,
    team: TeamName,
    request: Classified,
) -> Result<Arc<Answer>, ApiError> {
    if cx.is_leaving() {
        return Err(ApiError::not_run(ApiCode::Leaving, "the node takes no new work"));
    }
    if let Some(refusal) = crashes::refusal(cx, crashes::request_digest(&request)) {
        return Err(refusal.error);
    }
    // The prompt is kept in the request and in its encoded form until the answer ends.
    let room = cx.bodies.try_reserve(request.prompt.len() * PROMPT_COPIES);
    let room = room.ok_or_else(ApiError::no_memory)?;
    let mut reservation = TeamReservation::reserve(cx, &team, &request)?;
    let engines = EligibleEngines::default();
    let queued = enqueue(cx, &team, &request, AdmissionStatus::New, &engines).await?;
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
    let (answer_of_run, cause) = (Arc::clone(&answer), Cause::Engine);
    let run = Run { portable, answer: answer_of_run, version, emitted, origin: None, cause };
    reservation.commit();
    let running = relay::run_traced(Arc::clone(cx), run, Some(queued));
    tokio::spawn(
        async move {
            running.await;
            drop(reservation);
            drop(room);
        }
        .in_current_span(),
    );

    // The caller gets no confirmation before a peer has a copy, since an accepted request must
    // survive the loss of this node. The run starts concurrently, so that copying does not delay
    // the first token.
    let stopped = |_| {
        let error = ApiError::not_run(ApiCode::Leaving, "the node is stopping");
        error.ran(Ran::Unknown)
    };
    if copied.await.map_err(stopped)? == CopyLocation::NoCopy {
        answer.set_uncopied();
        cx.meters.count(Metric::Uncopied, &[], 1);
    }
    Ok(answer)
}

/// A `QueuedRequest` is a request that waits in the queue for an engine.
pub struct QueuedRequest {
    /// Its ticket in the queue.
    pub ticket: Ticket,
    /// Receives the placement once there is one.
    pub start: oneshot::Receiver<Start>,
}

/// An `AdmissionStatus` tells whether a request may still be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionStatus {
    /// The request is new and may be refused.
    New,
    /// The request was accepted before and must be run.
    Accepted,
}

/// `EligibleEngines` are the engines on which a request may be run.
#[derive(Clone, Debug, Default)]
pub struct EligibleEngines {
    /// The engines that already failed for it.
    pub avoid: Vec<WorkerKey>,
    /// The engines that may run it; all if there are none.
    pub only: Vec<WorkerKey>,
}

/// Submits a request to the queue.
pub async fn enqueue(
    cx: &Context,
    team: &TeamName,
    request: &Classified,
    status: AdmissionStatus,
    engines: &EligibleEngines,
) -> Result<QueuedRequest, ApiError> {
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
            accepted: status == AdmissionStatus::Accepted,
        },
        req: PlacementRequest {
            prefix: block_hashes(&request.prompt),
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.max_tokens,
            avoid: engines.avoid.clone(),
            only: engines.only.clone(),
            ..PlacementRequest::default()
        },
        accepted: accepted_tx,
        start: start_tx,
    };
    let node_stopping = || ApiError::not_run(ApiCode::Leaving, "the node is stopping").ran(Ran::No);
    cx.dispatcher.send(submit).await.map_err(|_| node_stopping())?;
    match accepted.await.map_err(|_| node_stopping())? {
        Verdict::Accepted(ticket) => Ok(QueuedRequest { ticket, start }),
        Verdict::Refused(after) => {
            let error = ApiError::not_run(ApiCode::Overloaded, "the queue is full");
            Err(error.retry_after(after))
        }
    }
}
