//! How many engines the requests of a node keep busy.

use std::time::Duration;

use bulrushhall_core::Stamp;

/// The time over which the demand is averaged: longer than a burst of a few requests, shorter than
/// an engine takes to start.
const AVERAGED_OVER: Duration = Duration::from_secs(3);
/// The shortest time between two takings of the average.
const TAKEN_EACH: Duration = Duration::from_millis(200);

/// A `Demand` is the work sent to the engines of a service, in engines that it keeps busy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    busy: f64,
    sent: f64,
    taken_at: Stamp,
}

impl Demand {
    /// Notes a request that keeps an engine busy for `work`.
    pub fn note(&mut self, now: Stamp, work: Duration) {
        self.take(now);
        self.sent += work.as_secs_f64();
    }

    /// Returns the engines that are kept busy.
    pub fn busy(&mut self, now: Stamp) -> f64 {
        self.take(now);
        self.busy
    }

    fn take(&mut self, now: Stamp) {
        let passed = now.since(self.taken_at);
        if passed < TAKEN_EACH {
            return;
        }
        let weight = 1.0 - (-passed.as_secs_f64() / AVERAGED_OVER.as_secs_f64()).exp();
        let rate = self.sent / passed.as_secs_f64();
        self.busy += (rate - self.busy) * weight;
        self.sent = 0.0;
        self.taken_at = now;
    }
}
