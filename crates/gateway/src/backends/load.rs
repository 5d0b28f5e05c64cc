//! The load of one node's requests at one backend server.

use serde::{Deserialize, Serialize};

/// The number of priorities that backend servers distinguish.
pub const RANKS: usize = 10;

/// A `Load` is the load of one node's requests at one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of requests.
    pub requests: u32,
    /// The tokens to prefill of requests without a first token, by priority.
    pub waiting: [u32; RANKS],
    /// The tokens of prompts and answers in the engine's KV cache.
    pub held: u32,
}

impl Load {
    /// Returns the sum of two loads.
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

    /// Returns the waiting tokens of all requests with a priority at least as urgent as `rank`.
    pub fn waiting_before(&self, rank: u8) -> u64 {
        self.waiting.iter().take(usize::from(rank) + 1).map(|tokens| u64::from(*tokens)).sum()
    }

    /// Returns whether the load is zero.
    pub fn is_empty(&self) -> bool {
        *self == Load::default()
    }
}
