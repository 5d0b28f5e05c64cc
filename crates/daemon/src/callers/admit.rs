//! The third filter: whether a request is accepted.

use std::sync::Arc;

use bulrushhall_core::{Ran, TeamName};
use bulrushhall_policy::{PlacementRequest, Ticket, Wait, WorkerKey, prefix::block_hashes};
use tokio::sync::oneshot;

use crate::{
    answers::Answer,
    callers::{ApiCode, ApiError, classify::Classified, relay},
    context::Context,
    dispatcher::{Start, Submit, Verdict},
};

/// An `Accepted` is a request that the node has taken on.
pub struct Accepted {
    /// What it asks for.
    pub request: Classified,
    /// Its answer, which fills as the engine writes.
    pub answer: Arc<Answer>,
}

/// Accepts a request and starts its run, or refuses it.
pub async fn admit(
    cx: &Arc<Context>,
    team: TeamName,
    request: Classified,
) -> Result<Arc<Answer>, ApiError> {
    if cx.is_leaving() {
        return Err(ApiError::not_run(ApiCode::Leaving, "the node takes no new work"));
    }
    let pending = ask(cx, &team, &request, Standing::New, &[]).await?;
    let (model, class) = (request.model.clone(), request.class.clone());
    let answer = Arc::new(Answer::new(cx.next_request(), team, model, class));
    cx.answers.insert(Arc::clone(&answer));

    let accepted = Accepted { request, answer: Arc::clone(&answer) };
    tokio::spawn(relay::run(Arc::clone(cx), accepted, pending));
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
        wait: Wait {
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
