//! An accepted request in the form in which it goes from node to node.

use std::sync::Arc;

use bulrushhall_core::{RequestId, TeamName};
use bulrushhall_external::{CallError, CallFault};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    answers::{Answer, AnswerEnd},
    callers::classify::Classified,
};

/// A `Portable` is an accepted request in the form in which it goes from node to node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Portable {
    /// The team that the request came from.
    pub team: TeamName,
    /// What it asks for.
    pub request: Classified,
    /// The span that it was accepted in, where that is collected.
    #[serde(default)]
    pub trace_parent: Option<String>,
}

impl Portable {
    /// Returns the encoded form.
    pub fn encode(&self) -> Result<Bytes, CallError> {
        let malformed = |_| CallError::not_done(CallFault::Malformed);
        rmp_serde::to_vec_named(self).map(Bytes::from).map_err(malformed)
    }

    /// Returns the request that `bytes` hold.
    pub fn decode(bytes: &[u8]) -> Result<Portable, CallError> {
        rmp_serde::from_slice(bytes).map_err(|_| CallError::not_done(CallFault::Malformed))
    }

    /// Returns an answer to the request that has no tokens yet.
    pub fn answer(&self, id: RequestId) -> Arc<Answer> {
        let Classified { model, class, .. } = &self.request;
        let answer = Answer::new(id, self.team.clone(), model.clone(), class.clone());
        answer.set_prompt_tokens(self.request.prompt_tokens);
        Arc::new(answer)
    }
}

/// Returns the encoded form of an end.
pub(super) fn encode_end(end: &AnswerEnd) -> Bytes {
    // An end holds only text and numbers, for which serialization cannot fail.
    Bytes::from(rmp_serde::to_vec_named(end).unwrap_or_default())
}

/// Returns the end that `bytes` hold.
pub(super) fn decode_end(bytes: &[u8]) -> Option<AnswerEnd> {
    rmp_serde::from_slice(bytes).ok()
}
