//! The engines that may be chosen, with their scores.

use std::cmp::Ordering;

use bulrushhall_core::bounded_seconds;

use crate::{engine_choice::EngineChoice, placement::WorkerKey};

/// The number of candidates that are sorted at first: more than mostly take part.
const SORTED_AT_ONCE: usize = 16;
/// An engine that may be chosen, with its score in milliseconds.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    /// The position of the engine.
    pub at: usize,
    pub score: f64,
    pub choice: ExpectedWork,
}

/// An [`EngineChoice`] with times in milliseconds: converting them takes time at each engine.
#[derive(Clone, Copy)]
pub(super) struct ExpectedWork {
    pub key: WorkerKey,
    pub prefill_tokens: u32,
    pub cached: u32,
    pub copied: u32,
    pub wait_ms: f64,
    pub first_token_ms: f64,
}

impl ExpectedWork {
    pub fn choice(self, copy_avoided: bool) -> EngineChoice {
        EngineChoice {
            key: self.key,
            prefill_tokens: self.prefill_tokens,
            cached: self.cached,
            copied: self.copied,
            wait: bounded_seconds(self.wait_ms / 1_000.0),
            first_token: bounded_seconds(self.first_token_ms / 1_000.0),
            copy_avoided,
        }
    }
}

impl Candidate {
    pub fn compare(&self, other: &Candidate) -> Ordering {
        self.score.total_cmp(&other.score)
    }

    /// Returns the prompt tokens that the engine computes or copies.
    pub fn prompt_work(&self) -> u32 {
        self.choice.prefill_tokens + self.choice.copied
    }
}

// Returns the candidates with the lowest scores that `amount` fills up, in ascending order, and the level that it reaches.
// Mostly these are few, so that sorting all candidates would take most of the time of a decision.
pub(super) fn fill(mut candidates: Vec<Candidate>, amount: f64) -> (Vec<Candidate>, f64) {
    let mut sorted = 0;
    let mut sum = 0.0;
    let mut level = f64::NEG_INFINITY;
    for at in 0..candidates.len() {
        if sorted == at {
            let next = (at + SORTED_AT_ONCE.max(at)).min(candidates.len());
            let rest = &mut candidates[at..];
            if next - at < rest.len() {
                rest.select_nth_unstable_by(next - at, Candidate::compare);
            }
            candidates[at..next].sort_unstable_by(Candidate::compare);
            sorted = next;
        }
        let score = candidates[at].score;
        if level <= score && 0 < at {
            candidates.truncate(at);
            break;
        }
        sum += score;
        level = (amount + sum) / (at + 1) as f64;
    }
    (candidates, level)
}
