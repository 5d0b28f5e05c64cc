//! The highest of the values of the last seconds.

use std::time::Duration;

use bulrushhall_core::Stamp;

/// The spans of time that a `RecentPeak` keeps the highest value of.
const SPANS: usize = 3;

/// A `RecentPeak` is the highest of the values noted lately, without keeping them all.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentPeak {
    begun_at: Stamp,
    spans: [f64; SPANS],
}

impl RecentPeak {
    // Returns the highest value of the last `kept_for`, and of at most half of it longer.
    pub(super) fn note(&mut self, now: Stamp, kept_for: Duration, value: f64) -> f64 {
        if kept_for <= now.since(self.begun_at) * (SPANS as u32 - 1) {
            self.spans.rotate_right(1);
            self.spans[0] = 0.0;
            self.begun_at = now;
        }
        self.spans[0] = self.spans[0].max(value);
        self.spans.into_iter().fold(0.0, f64::max)
    }
}
