//! The encoding of accepted requests that are sent between nodes.

use std::sync::Arc;

use bulrushhall_coord::decode_message;
use bulrushhall_core::{RequestId, TeamName};
use bulrushhall_external::{CallError, CallFault};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    answers::{Answer, AnswerEnd},
    callers::classify::Classified,
};

/// A `Portable` is an accepted request in the form in which nodes send it to each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Portable {
    /// The team that the request came from.
    pub team: TeamName,
    /// The request.
    pub request: Classified,
    /// The trace context of the span in which it was accepted, if traces are collected.
    #[serde(default)]
    pub trace_parent: Option<String>,
}

impl Portable {
    /// Returns the encoded form.
    pub fn encode(&self) -> Result<Bytes, CallError> {
        let malformed = |_| CallError::not_done(CallFault::Malformed);
        rmp_serde::to_vec_named(self).map(Bytes::from).map_err(malformed)
    }

    /// Decodes a request.
    pub fn decode(bytes: &[u8]) -> Result<Portable, CallError> {
        decode_message(bytes).map_err(|_| CallError::not_done(CallFault::Malformed))
    }

    /// Returns a new answer to the request, without tokens.
    pub fn answer(&self, id: RequestId) -> Arc<Answer> {
        let Classified { model, class, .. } = &self.request;
        let answer = Answer::new(id, self.team.clone(), model.clone(), class.clone());
        answer.set_prompt_tokens(self.request.prompt_tokens);
        Arc::new(answer)
    }
}

/// Encodes the end of an answer.
pub(super) fn encode_end(end: &AnswerEnd) -> Bytes {
    // An end holds only text and numbers, whose serialization cannot fail.
    Bytes::from(rmp_serde::to_vec_named(end).unwrap_or_default())
}

/// Decodes the end of an answer.
pub(super) fn decode_end(bytes: &[u8]) -> Option<AnswerEnd> {
    decode_message(bytes).ok()
}
