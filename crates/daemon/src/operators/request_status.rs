//! The status of a request at one node, for operators.

use bulrushhall_core::{ClassName, ModelName, NodeName, Ran, RequestId, TeamName};
use serde::{Deserialize, Serialize};

use crate::{
    answers::{Answer, AnswerEnd},
    callers::ApiCode,
    context::Context,
};

/// A `RequestState` is the progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// No token has been generated yet.
    Waiting,
    /// Some tokens have been generated.
    Running,
    /// Its answer is complete.
    Finished,
    /// It failed.
    Failed,
    /// Another node owns it now.
    Moved,
}

/// A `RequestStatus` is the status of a request at one node; it contains no prompt and no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStatus {
    /// The request.
    pub id: RequestId,
    /// The node that reports the status.
    pub node: NodeName,
    /// Whether this incarnation of the node accepted the request, not an earlier one or another node.
    pub accepted_here: bool,
    /// The team that it came from.
    pub team: TeamName,
    /// The model.
    pub model: ModelName,
    /// The class.
    pub class: ClassName,
    /// Its progress.
    pub state: RequestState,
    /// The number of tokens so far.
    pub tokens: usize,
    /// Whether a backend server may have run it.
    pub ran: Ran,
    /// Why it failed, if it did.
    pub failure: Option<ApiCode>,
}

impl RequestState {
    /// Returns the name of the state as it is shown to operators.
    pub fn as_str(self) -> &'static str {
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
    /// Returns the status of a request whose answer the node holds.
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

    /// Returns the node's role for the request in words for people.
    pub fn role(&self) -> &'static str {
        if self.accepted_here { "accepted it" } else { "took it over" }
    }
}
