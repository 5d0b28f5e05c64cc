//! The observed token rate of one running request.

use std::time::Duration;

/// The weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// The minimum rate, which keeps estimated waits finite.
const MIN_TOKENS_PER_SECOND: f64 = 0.1;

/// A `ServiceRate` is a moving average of the tokens per second of one running request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceRate {
    tokens_per_second: f64,
}

impl ServiceRate {
    /// Returns a rate with an initial estimate.
    pub fn new(tokens_per_second: f64) -> ServiceRate {
        ServiceRate { tokens_per_second: tokens_per_second.max(MIN_TOKENS_PER_SECOND) }
    }

    /// Records a finished request.
    pub fn note(&mut self, tokens: u32, took: Duration) {
        // A request that ends at once has failed and says nothing about the rate.
        if took < Duration::from_millis(1) {
            return;
        }
        let measured = f64::from(tokens) / took.as_secs_f64();
        self.tokens_per_second += SAMPLE_WEIGHT * (measured - self.tokens_per_second);
        self.tokens_per_second = self.tokens_per_second.max(MIN_TOKENS_PER_SECOND);
    }

    /// Returns the time to process `tokens` with `slots` concurrent requests.
    pub fn time_for(&self, tokens: f64, slots: usize) -> Duration {
        if slots == 0 {
            return Duration::MAX;
        }
        let seconds = tokens / (self.tokens_per_second * slots as f64);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
