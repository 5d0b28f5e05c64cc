//! What a caller asks for, whatever the form it was sent in.

use std::time::Duration;

use bulrushhall_policy::parts::PromptPart;

/// A `Prompt` is what a caller tells of a prompt that engines read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its tokens.
    pub tokens: u32,
    /// The most tokens of the answer.
    pub max_answer_tokens: u32,
    /// The caller's estimate of the tokens of the answer.
    pub answer_tokens_hint: Option<u32>,
    /// The parts that other prompts may begin with too, in order.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the expected tokens of the answer: the hint, or half of what it may have.
    pub fn answer(&self) -> u32 {
        self.answer_tokens_hint.unwrap_or(self.max_answer_tokens / 2).min(self.max_answer_tokens)
    }

    /// Returns the parts that prompts of others may have: the last of several is this request's own.
    pub fn shared_parts(&self) -> &[PromptPart] {
        match self.parts.as_slice() {
            [shared @ .., _] if !shared.is_empty() => shared,
            parts => parts,
        }
    }
}

/// A `Call` is what a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The id of this attempt of the caller.
    pub id: String,
    /// The host that it is meant for, without the port.
    pub host: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The prompt, where engines are asked.
    pub prompt: Option<Prompt>,
    /// The number of the last event that the caller has of an earlier answer.
    pub resume_after: Option<u64>,
}
