//! The input of a placement.

use crate::placement::{WorkerKey, WorkerRole};

/// A `Stage` is the stage of inference that is placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// The whole request.
    #[default]
    Whole,
    /// The computation of the prompt only.
    Prefill,
    /// The generation of tokens, after the prompt was computed on another engine.
    Decode,
}

/// A `PlacementRequest` is a request for an engine.
#[derive(Clone, Debug, Default)]
pub struct PlacementRequest {
    /// The hashes of the leading blocks of the prompt, each covering all blocks before it.
    pub prefix: Vec<u64>,
    /// The tokens of the prompt, including output that was already emitted.
    pub prompt_tokens: u32,
    /// The estimated tokens of the answer.
    pub answer_tokens: u32,
    /// The engines that already failed for this request.
    pub avoid: Vec<WorkerKey>,
    /// The engines that may run it; all if there are none.
    pub only: Vec<WorkerKey>,
    /// The stage that is placed.
    pub stage: Stage,
}

impl PlacementRequest {
    /// Returns whether an engine may run it.
    pub fn allows(&self, engine: WorkerKey) -> bool {
        self.only.is_empty() || self.only.contains(&engine)
    }
}

impl Stage {
    /// Returns whether an engine with the given role can run this stage.
    pub fn fits(self, role: WorkerRole) -> bool {
        match (self, role) {
            (_, WorkerRole::Both) => true,
            (Stage::Whole, _) => false,
            (Stage::Prefill, role) => role == WorkerRole::Prefill,
            (Stage::Decode, role) => role == WorkerRole::Decode,
        }
    }
}
