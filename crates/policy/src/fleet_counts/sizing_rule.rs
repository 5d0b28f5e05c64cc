//! The number of engines that a demand needs.

use std::time::Duration;

/// The time beyond the startup time of an engine after which an order is repeated.
pub(super) const START_SLACK: Duration = Duration::from_millis(1_500);

/// A `SizingRule` determines the number of engines that a demand needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SizingRule {
    /// The maximum utilization of an engine, however many there are.
    pub used_most: f64,
    /// The additional engines, as a multiple of the square root of the number of busy ones: the
    /// work of many callers varies by the square root of its mean, so a large fleet needs a smaller
    /// relative margin.
    pub spread: f64,
    /// How long reclaimable engines for the peak demand are kept, in engine startup times: they are
    /// cheap, and none may be available when the demand returns.
    pub kept_starts: f64,
    /// How long on-demand engines for the peak demand are kept, in engine startup times: if the
    /// demand returns sooner, released engines could not be replaced in time.
    pub stand_in_starts: f64,
}

impl Default for SizingRule {
    fn default() -> Self {
        SizingRule { used_most: 0.85, spread: 0.5, kept_starts: 8.0, stand_in_starts: 1.0 }
    }
}

impl SizingRule {
    /// Returns the number of engines for a demand that fully utilizes `busy` engines.
    pub fn engines(&self, busy: f64) -> f64 {
        busy / self.used_most + self.spread * busy.sqrt()
    }

    pub(super) fn reclaimable_window(&self, start: Duration) -> Duration {
        start.mul_f64(self.kept_starts) + START_SLACK
    }

    pub(super) fn on_demand_window(&self, start: Duration) -> Duration {
        start.mul_f64(self.stand_in_starts) + START_SLACK
    }
}
