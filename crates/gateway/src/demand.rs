//! The load that a node offers to the engines.

use std::time::Duration;

use bulrushhall_core::Stamp;
use bulrushhall_policy::observed::EngineLatencyModel;
use serde::{Deserialize, Serialize};

/// The time constant of the demand's moving average: longer than a burst of a few requests, shorter than
/// the start of an engine.
const AVERAGED_OVER: Duration = Duration::from_secs(3);
/// The minimum time between two updates of the moving average.
const TAKEN_EACH: Duration = Duration::from_millis(200);
/// The fraction of an engine's batch that is planned to be full: half, so that there are free slots for a
/// burst or when the engines of a zone are reclaimed.
const BATCH_SHARE: f64 = 0.5;

/// An `Offered` is the load that is offered to the engines of a service in a second.
///
/// Nodes exchange tokens and not times: each node converts them with its current model of the engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Offered {
    /// The prompt tokens to prefill.
    pub read: f64,
    /// The expected tokens of answers.
    pub answer: f64,
}

impl Offered {
    /// Returns the sum of two loads.
    pub fn plus(self, other: Offered) -> Offered {
        Offered { read: self.read + other.read, answer: self.answer + other.answer }
    }

    /// Returns the number of engines that it keeps busy.
    pub fn busy(self, pace: &EngineLatencyModel, slots: u32) -> f64 {
        let batch = (f64::from(slots) * BATCH_SHARE).max(1.0);
        (pace.prefill_ms(self.read) + pace.decode_work_ms(self.answer, batch)) / 1_000.0
    }
}

/// A `Demand` is the moving average of the load that a node offers to the engines of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    rate: Offered,
    sent: Offered,
    taken_at: Stamp,
}

impl Demand {
    /// Notes a request.
    pub fn note(&mut self, now: Stamp, work: Offered) {
        self.take(now);
        self.sent = self.sent.plus(work);
    }

    /// Returns the load per second.
    pub fn rate(&mut self, now: Stamp) -> Offered {
        self.take(now);
        self.rate
    }

    fn take(&mut self, now: Stamp) {
        let passed = now.since(self.taken_at);
        if passed < TAKEN_EACH {
            return;
        }
        let weight = 1.0 - (-passed.as_secs_f64() / AVERAGED_OVER.as_secs_f64()).exp();
        let moved = |rate: f64, sent: f64| rate + (sent / passed.as_secs_f64() - rate) * weight;
        self.rate.read = moved(self.rate.read, self.sent.read);
        self.rate.answer = moved(self.rate.answer, self.sent.answer);
        self.sent = Offered::default();
        self.taken_at = now;
    }
}
