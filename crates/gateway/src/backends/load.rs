//! What requests of one node take up at one backend server.

use serde::{Deserialize, Serialize};

/// The ranks of urgency that backend servers tell apart.
pub const RANKS: usize = 10;

/// A `Load` is what the requests of one node take up at one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The requests.
    pub requests: u32,
    /// The prompt tokens without a first token yet, by rank.
    pub waiting: [u32; RANKS],
    /// The tokens of prompts and answers in the engine's memory.
    pub held: u32,
}

impl Load {
    /// Returns both together.
    pub fn plus(self, other: Load) -> Load {
        let mut waiting = self.waiting;
        for (sum, more) in waiting.iter_mut().zip(other.waiting) {
            *sum = sum.saturating_add(more);
        }
        Load {
            requests: self.requests.saturating_add(other.requests),
            waiting,
            held: self.held.saturating_add(other.held),
        }
    }

    /// Returns the waiting tokens of all requests that are at least as urgent as `rank`.
    pub fn waiting_before(&self, rank: u8) -> u64 {
        self.waiting.iter().take(usize::from(rank) + 1).map(|tokens| u64::from(*tokens)).sum()
    }

    /// Returns whether there is nothing.
    pub fn is_empty(&self) -> bool {
        *self == Load::default()
    }
}
