//! The platform-independent view of a caller's request.

use std::time::Duration;

use bulrushhall_coord::crashes::{PartId, PartIds};
use bulrushhall_policy::parts::PromptPart;

/// A `Prompt` is what a caller's request announces about its prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The number of its tokens.
    pub tokens: u32,
    /// The maximum number of tokens of the answer.
    pub max_answer_tokens: u32,
    /// The caller's estimate of the number of tokens of the answer.
    pub answer_tokens_hint: Option<u32>,
    /// The parts of its prefix that other prompts may share, in order.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the expected number of tokens of the answer: the hint, or half of the maximum.
    pub fn answer(&self) -> u32 {
        self.answer_tokens_hint.unwrap_or(self.max_answer_tokens / 2).min(self.max_answer_tokens)
    }

    /// Returns the parts that other prompts may share: the last of several parts belongs to this request
    /// alone.
    pub fn shared_parts(&self) -> &[PromptPart] {
        match self.parts.as_slice() {
            [shared @ .., _] if !shared.is_empty() => shared,
            parts => parts,
        }
    }

    /// Returns the ids of all parts, for logs.
    pub fn part_ids(&self) -> PartIds {
        PartIds(self.parts.iter().map(|part| PartId(part.id)).collect())
    }
}

/// A `Call` is a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The id of this attempt of the caller.
    pub id: String,
    /// The requested host, without the port.
    pub host: String,
    /// The caller's key.
    pub key: Option<String>,
    /// The time for which the caller waits.
    pub deadline: Option<Duration>,
    /// The prompt, if the request is for an engine.
    pub prompt: Option<Prompt>,
    /// The id of the last event that the caller received from an earlier response.
    pub resume_after: Option<u64>,
    /// The id of the caller's attempt that brought the first event of the stream, if the caller resumes one.
    pub resumes: Option<String>,
}
