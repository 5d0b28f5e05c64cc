//! Exponentially decaying sums.

use std::time::Duration;

use bulrushhall_core::Stamp;

/// A `DecayingSum` is an exponentially decaying sum: the weight of an amount falls by a factor of e
/// in each time constant.
#[derive(Clone, Copy, Debug)]
pub struct DecayingSum {
    time_constant: Duration,
    sum: f64,
    updated_at: Stamp,
}

impl DecayingSum {
    /// Returns an empty sum.
    pub fn new(time_constant: Duration) -> DecayingSum {
        DecayingSum { time_constant, sum: 0.0, updated_at: Stamp(0) }
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Stamp, amount: f64) {
        self.sum = self.sum(now) + amount;
        self.updated_at = now;
    }

    /// Returns the decayed sum at `now`.
    pub fn sum(&self, now: Stamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.sum * (-elapsed / self.time_constant.as_secs_f64()).exp()
    }

    /// Returns the estimated rate per second at `now`.
    pub fn rate(&self, now: Stamp) -> f64 {
        self.sum(now) / self.time_constant.as_secs_f64()
    }
}
