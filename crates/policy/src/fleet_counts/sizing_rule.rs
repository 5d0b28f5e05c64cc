//! How many engines a demand needs.

use std::time::Duration;

/// How much longer than an engine's start an order may take before it is given again.
pub(super) const START_SLACK: Duration = Duration::from_millis(1_500);

/// `SizingRule` is how many engines a demand needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SizingRule {
    /// The part of an engine's time that is used at most, however many there are.
    pub used_most: f64,
    /// How many engines more are needed than are busy, in square roots of these: the work of many
    /// callers varies by the square root of its mean, so a large fleet has a smaller part to spare.
    pub spread: f64,
    /// How many starts of an engine the highest demand is kept for in reclaimable ones: they cost little,
    /// and there may be none to buy when the demand returns.
    pub kept_starts: f64,
    /// How many starts of an engine the highest demand is kept for in on-demand ones: where it returns
    /// sooner, engines that were given back would not be there in time.
    pub stand_in_starts: f64,
}

impl Default for SizingRule {
    fn default() -> Self {
        SizingRule { used_most: 0.85, spread: 0.5, kept_starts: 8.0, stand_in_starts: 1.0 }
    }
}

impl SizingRule {
    /// Returns the engines for a demand that would keep `busy` of them busy all the time.
    pub fn engines(&self, busy: f64) -> f64 {
        busy / self.used_most + self.spread * busy.sqrt()
    }

    pub(super) fn kept_for(&self, start: Duration) -> Duration {
        start.mul_f64(self.kept_starts) + START_SLACK
    }

    pub(super) fn stand_ins_for(&self, start: Duration) -> Duration {
        start.mul_f64(self.stand_in_starts) + START_SLACK
    }
}
