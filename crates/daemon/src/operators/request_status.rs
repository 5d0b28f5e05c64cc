//! How far a request is at one node, as operators are told.

use bulrushhall_core::{ClassName, ModelName, NodeName, Ran, RequestId, TeamName};
use serde::{Deserialize, Serialize};

use crate::{
    answers::{Answer, AnswerEnd},
    callers::ApiCode,
    context::Context,
};

/// A `RequestState` tells how far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// It waits for its first token.
    Waiting,
    /// Tokens have come.
    Running,
    /// Its answer is whole.
    Finished,
    /// It failed.
    Failed,
    /// Another node owns it now.
    Moved,
}

/// A `RequestStatus` tells how far a request is at one node; it holds no prompt and no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStatus {
    /// The request.
    pub id: RequestId,
    /// The node that tells this.
    pub node: NodeName,
    /// Whether this life of the node accepted the request, and not an earlier life or another node.
    pub accepted_here: bool,
    /// The team that it came from.
    pub team: TeamName,
    /// The model.
    pub model: ModelName,
    /// The class.
    pub class: ClassName,
    /// How far it is.
    pub state: RequestState,
    /// The tokens so far.
    pub tokens: usize,
    /// Whether a backend server may have run it.
    pub ran: Ran,
    /// Why it failed, if it did.
    pub failure: Option<ApiCode>,
}

impl RequestState {
    /// Returns the word for people.
    pub fn word(self) -> &'static str {
        match self {
            RequestState::Waiting => "waiting",
            RequestState::Running => "running",
            RequestState::Finished => "finished",
            RequestState::Failed => "failed",
            RequestState::Moved => "moved",
        }
    }
}

impl RequestStatus {
    /// Returns how far a request is whose answer the node holds.
    pub fn of(cx: &Context, answer: &Answer) -> RequestStatus {
        let tokens = answer.len();
        let (state, failure) = match answer.ended() {
            Some(AnswerEnd::Whole(_)) => (RequestState::Finished, None),
            Some(AnswerEnd::Failed(error)) => (RequestState::Failed, Some(error.code)),
            Some(AnswerEnd::Moved(_)) => (RequestState::Moved, None),
            None if tokens == 0 => (RequestState::Waiting, None),
            None => (RequestState::Running, None),
        };
        RequestStatus {
            id: answer.id(),
            node: cx.settings.node.name.clone(),
            accepted_here: answer.id().origin == cx.incarnation,
            team: answer.team().clone(),
            model: answer.model().clone(),
            class: answer.class().clone(),
            state,
            tokens,
            ran: answer.ran(),
            failure,
        }
    }

    /// Returns the word for what the node has to do with the request.
    pub fn role(&self) -> &'static str {
        if self.accepted_here { "accepted it" } else { "took it over" }
    }
}
