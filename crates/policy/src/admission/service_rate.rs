//! The measured rate at which one running request gets its tokens.

use std::time::Duration;

/// The weight of the newest measurement.
const NEWEST: f64 = 0.1;
/// The least rate, so that a wait can always be worked out.
const LEAST: f64 = 0.1;

/// A `ServiceRate` is a moving average of tokens a second for one running request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceRate {
    tokens_per_second: f64,
}

impl ServiceRate {
    /// Returns a rate that starts from a guess.
    pub fn new(tokens_per_second: f64) -> ServiceRate {
        ServiceRate { tokens_per_second: tokens_per_second.max(LEAST) }
    }

    /// Adds a finished request.
    pub fn note(&mut self, tokens: u32, took: Duration) {
        // A request that ended at once failed; it tells nothing about the rate.
        if took < Duration::from_millis(1) {
            return;
        }
        let measured = f64::from(tokens) / took.as_secs_f64();
        self.tokens_per_second += NEWEST * (measured - self.tokens_per_second);
        self.tokens_per_second = self.tokens_per_second.max(LEAST);
    }

    /// Returns how long `tokens` take when `slots` requests run side by side.
    pub fn time_for(&self, tokens: f64, slots: usize) -> Duration {
        if slots == 0 {
            return Duration::MAX;
        }
        let seconds = tokens / (self.tokens_per_second * slots as f64);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
