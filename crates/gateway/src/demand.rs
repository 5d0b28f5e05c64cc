//! How much work the requests of a node are for the engines.

use std::time::Duration;

use bulrushhall_core::Stamp;
use bulrushhall_policy::observed::EngineLatencyModel;
use serde::{Deserialize, Serialize};

/// The time over which the demand is averaged: longer than a burst of a few requests, shorter than
/// an engine takes to start.
const AVERAGED_OVER: Duration = Duration::from_secs(3);
/// The shortest time between two takings of the average.
const TAKEN_EACH: Duration = Duration::from_millis(200);
/// The part of an engine's batch that is planned to be filled: half, so that a reclaim of a zone or a
/// burst finds places.
const BATCH_SHARE: f64 = 0.5;

/// An `Offered` is the work that engines of a service are sent in a second.
///
/// Nodes tell each other tokens and not times: how long these take each works out by what is known
/// of the engines at that moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Offered {
    /// The prompt tokens to read.
    pub read: f64,
    /// The expected tokens of answers.
    pub answer: f64,
}

impl Offered {
    /// Returns both together.
    pub fn plus(self, other: Offered) -> Offered {
        Offered { read: self.read + other.read, answer: self.answer + other.answer }
    }

    /// Returns the engines that are kept busy all the time with it.
    pub fn busy(self, pace: &EngineLatencyModel, slots: u32) -> f64 {
        let batch = (f64::from(slots) * BATCH_SHARE).max(1.0);
        (pace.prefill_ms(self.read) + pace.decode_work_ms(self.answer, batch)) / 1_000.0
    }
}

/// A `Demand` is the work that a node sends to the engines of a service.
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

    /// Returns the work that is sent in a second.
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
