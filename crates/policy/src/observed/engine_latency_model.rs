//! The latency model of the engines of a service.

use serde::{Deserialize, Serialize};

/// A `Line` is a time in milliseconds that is a linear function of a quantity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The time at a quantity of 0.
    pub base: f64,
    /// The additional time per unit of the quantity.
    pub slope: f64,
}

impl Line {
    /// Returns the time at the quantity `value`.
    pub fn at(self, value: f64) -> f64 {
        self.base + self.slope * value
    }
}

/// An `EngineLatencyModel` is a linear latency model of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineLatencyModel {
    /// The time to first token of an engine without a queue, by the prompt tokens to compute.
    pub first: Line,
    /// The time between two events of a stream, by the number of requests that run on the engine.
    pub gap: Line,
    /// The expected number of answer tokens per event.
    pub event_tokens: f64,
    /// The number of samples behind the model.
    pub samples: u64,
}

/// The prior, without any samples. It is 1.1 to 2.2 times slower than known engines at computing
/// prompts and 1.3 to 2 times slower at generating tokens, so that the first plan has too many
/// engines rather than too few. Samples replace it within the first second of traffic.
impl Default for EngineLatencyModel {
    fn default() -> Self {
        EngineLatencyModel {
            first: Line { base: 40.0, slope: 0.02 },
            gap: Line { base: 8.0, slope: 0.2 },
            event_tokens: 1.0,
            samples: 0,
        }
    }
}

/// The longest time in a model, in milliseconds: an hour.
const MAX_TIME_MS: f64 = 3_600_000.0;
/// The bounds of the tokens of an event.
const MIN_EVENT_TOKENS: f64 = 1e-6;
const MAX_EVENT_TOKENS: f64 = 1e9;

impl EngineLatencyModel {
    /// Returns whether all its times can be computed with: they are finite, and neither negative nor without tokens.
    pub fn is_plausible(&self) -> bool {
        let EngineLatencyModel { first, gap, event_tokens, .. } = *self;
        let times = [first.base, first.slope, gap.base, gap.slope];
        let is_time = |time: f64| (0.0..=MAX_TIME_MS).contains(&time);
        times.into_iter().all(is_time)
            && (MIN_EVENT_TOKENS..=MAX_EVENT_TOKENS).contains(&event_tokens)
    }

    /// Returns the time to compute prompt tokens, in milliseconds.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        self.first.slope * tokens
    }

    /// Returns the prompt tokens that are computed per millisecond.
    pub fn prefill_tokens_per_ms(&self) -> f64 {
        1.0 / self.first.slope.max(f64::MIN_POSITIVE)
    }

    /// Returns the time to generate an answer in a batch of `batch` requests, in milliseconds.
    pub fn decode_ms(&self, tokens: f64, batch: f64) -> f64 {
        tokens / self.event_tokens.max(f64::MIN_POSITIVE) * self.gap.at(batch)
    }

    /// Returns the share of an answer in the time of an engine with a batch of `batch` requests, in
    /// milliseconds.
    pub fn decode_work_ms(&self, tokens: f64, batch: f64) -> f64 {
        self.decode_ms(tokens, batch) / batch.max(1.0)
    }

    /// Returns the time that each additional running request adds to an answer, in milliseconds.
    pub fn contention_ms(&self, tokens: f64) -> f64 {
        tokens / self.event_tokens.max(f64::MIN_POSITIVE) * self.gap.slope
    }
}
