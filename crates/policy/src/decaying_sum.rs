//! Sums of what happened lately.

use std::time::Duration;

use bulrushhall_core::Stamp;

/// A `DecayingSum` sum counts what was added lately: the weight of an amount falls by a factor of e in each
/// `over`.
#[derive(Clone, Copy, Debug)]
pub struct DecayingSum {
    over: Duration,
    sum: f64,
    at: Stamp,
}

impl DecayingSum {
    /// Returns an empty sum.
    pub fn new(over: Duration) -> DecayingSum {
        DecayingSum { over, sum: 0.0, at: Stamp(0) }
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Stamp, amount: f64) {
        self.sum = self.sum(now) + amount;
        self.at = now;
    }

    /// Returns the sum as it is at `now`.
    pub fn sum(&self, now: Stamp) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.sum * (-passed / self.over.as_secs_f64()).exp()
    }

    /// Returns how much is added in a second, as it is at `now`.
    pub fn rate(&self, now: Stamp) -> f64 {
        self.sum(now) / self.over.as_secs_f64()
    }
}
