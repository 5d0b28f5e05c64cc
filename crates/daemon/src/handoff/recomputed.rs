//! Tokens that were computed a second time, by cause.

use std::sync::atomic::{AtomicU64, Ordering};

/// A `Cause` tells why an answer had to be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The engine failed or its VM went.
    Engine,
    /// The engine's VM was taken back after a notice.
    Reclaim,
    /// The owner handed the request over.
    Handover,
    /// The owner died and its holder took over.
    Takeover,
}

/// `Recomputed` counts the tokens that were computed a second time, by cause.
#[derive(Debug, Default)]
pub struct Recomputed {
    counts: [AtomicU64; 4],
}

impl Cause {
    /// Every cause.
    pub const ALL: [Cause; 4] = [Cause::Engine, Cause::Reclaim, Cause::Handover, Cause::Takeover];

    /// Returns the word used in metrics.
    pub fn word(self) -> &'static str {
        match self {
            Cause::Engine => "engine",
            Cause::Reclaim => "reclaim",
            Cause::Handover => "handover",
            Cause::Takeover => "takeover",
        }
    }
}

impl Recomputed {
    /// Adds tokens.
    pub fn add(&self, cause: Cause, tokens: u32) {
        self.counts[cause as usize].fetch_add(u64::from(tokens), Ordering::Relaxed);
    }

    /// Returns the tokens of a cause.
    pub fn of(&self, cause: Cause) -> u64 {
        self.counts[cause as usize].load(Ordering::Relaxed)
    }
}
