//! The load that a node offers to the engines.

use std::time::Duration;

use bulrushhall_core::Stamp;
use bulrushhall_policy::observed::EngineLatencyModel;
use serde::{Deserialize, Serialize};

/// The time constant of the demand's moving average: longer than a burst of a few requests, shorter than
/// the start of an engine.
const AVERAGING_TIME: Duration = Duration::from_secs(3);
/// The minimum time between two updates of the moving average.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// The time that the prompts of a load are at engines before their first tokens while nothing is overloaded; they would
/// otherwise count as load and as backlog.
const USUAL_PREFILL_TIME: Duration = Duration::from_millis(250);
/// The fraction of an engine's batch that is planned to be full: half, so that there are free slots for a
/// burst or when the engines of a zone are reclaimed.
const PLANNED_BATCH_FRACTION: f64 = 0.5;

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

    /// Returns the additional load per second if `tokens` of prompts that are at engines are to be computed within a time;
    /// none if that is 0. What the load itself keeps at engines does not count.
    pub fn backlog(self, tokens: u64, within: Duration) -> Offered {
        if within.is_zero() {
            return Offered::default();
        }
        let usual = self.read * USUAL_PREFILL_TIME.as_secs_f64();
        let read = (tokens as f64 - usual).max(0.0) / within.as_secs_f64();
        Offered { read, answer: 0.0 }
    }

    /// Returns the number of engines that it keeps busy.
    pub fn busy_engines(self, model: &EngineLatencyModel, slots: u32) -> f64 {
        let batch = (f64::from(slots) * PLANNED_BATCH_FRACTION).max(1.0);
        (model.prefill_ms(self.read) + model.decode_work_ms(self.answer, batch)) / 1_000.0
    }
}

/// A `Demand` is the moving average of the load that a node offers to the engines of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    rate: Offered,
    sent: Offered,
    updated_at: Stamp,
}

impl Demand {
    /// Notes a request.
    pub fn note(&mut self, now: Stamp, work: Offered) {
        self.update(now);
        self.sent = self.sent.plus(work);
    }

    /// Returns the load per second.
    pub fn rate(&mut self, now: Stamp) -> Offered {
        self.update(now);
        self.rate
    }

    fn update(&mut self, now: Stamp) {
        let passed = now.since(self.updated_at);
        if passed < MIN_UPDATE_INTERVAL {
            return;
        }
        let weight = 1.0 - (-passed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        let averaged = |rate: f64, sent: f64| rate + (sent / passed.as_secs_f64() - rate) * weight;
        self.rate.read = averaged(self.rate.read, self.sent.read);
        self.rate.answer = averaged(self.rate.answer, self.sent.answer);
        self.sent = Offered::default();
        self.updated_at = now;
    }
}
