//! Counts of recomputed tokens, by cause.

use std::sync::atomic::{AtomicU64, Ordering};

/// A `Cause` is the reason for which an answer had to be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The engine failed or its VM was lost.
    Engine,
    /// The engine's VM was reclaimed after a notice.
    Reclaim,
    /// The owner handed the request over.
    Handover,
    /// The owner died and the copy holder took over.
    Takeover,
}

/// A `Recomputed` counts recomputed tokens, by cause.
#[derive(Debug, Default)]
pub struct Recomputed {
    counts: [AtomicU64; 4],
}

impl Cause {
    /// Every cause.
    pub const ALL: [Cause; 4] = [Cause::Engine, Cause::Reclaim, Cause::Handover, Cause::Takeover];

    /// Returns the label value used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Engine => "engine",
            Cause::Reclaim => "reclaim",
            Cause::Handover => "handover",
            Cause::Takeover => "takeover",
        }
    }
}

impl Recomputed {
    /// Adds recomputed tokens.
    pub fn add(&self, cause: Cause, tokens: u32) {
        self.counts[cause as usize].fetch_add(u64::from(tokens), Ordering::Relaxed);
    }

    /// Returns the number of recomputed tokens of a cause.
    pub fn of(&self, cause: Cause) -> u64 {
        self.counts[cause as usize].load(Ordering::Relaxed)
    }
}
