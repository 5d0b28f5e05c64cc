//! The maximum of recent values.

use std::time::Duration;

use bulrushhall_core::Stamp;

/// The number of time spans for which a `RecentPeak` keeps a maximum.
const SPANS: usize = 3;

/// A `RecentPeak` is the maximum of the values of a sliding window, stored as one maximum per time
/// span.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentPeak {
    span_started_at: Stamp,
    spans: [f64; SPANS],
}

impl RecentPeak {
    // Adds a value and returns the maximum over a window between `window` and one and a half times
    // that.
    pub(super) fn add(&mut self, now: Stamp, window: Duration, value: f64) -> f64 {
        if window <= now.since(self.span_started_at) * (SPANS as u32 - 1) {
            self.spans.rotate_right(1);
            self.spans[0] = 0.0;
            self.span_started_at = now;
        }
        self.spans[0] = self.spans[0].max(value);
        self.spans.into_iter().fold(0.0, f64::max)
    }
}
