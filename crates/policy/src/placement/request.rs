//! What has to be placed.

use crate::placement::{WorkerKey, WorkerRole};

/// A `Stage` is the part of a request's work that is to be placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// The whole request.
    #[default]
    Whole,
    /// Its prompt only.
    Prefill,
    /// The generation of tokens after the prompt was computed elsewhere.
    Decode,
}

/// A `PlacementRequest` is what has to be placed.
#[derive(Clone, Debug, Default)]
pub struct PlacementRequest {
    /// The hashes of the prompt's leading blocks, each covering all before it.
    pub prefix: Vec<u64>,
    /// The tokens of the prompt and of what was emitted.
    pub prompt_tokens: u32,
    /// The estimated tokens of the answer.
    pub answer_tokens: u32,
    /// The engines that failed for this request already.
    pub avoid: Vec<WorkerKey>,
    /// The part of the work that is to be placed.
    pub stage: Stage,
}

impl Stage {
    /// Returns whether an engine of a role can do this part.
    pub fn fits(self, role: WorkerRole) -> bool {
        match (self, role) {
            (_, WorkerRole::Both) => true,
            (Stage::Whole, _) => false,
            (Stage::Prefill, role) => role == WorkerRole::Prefill,
            (Stage::Decode, role) => role == WorkerRole::Decode,
        }
    }
}
