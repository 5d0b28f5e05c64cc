//! How fast the engines of a service are.

use serde::{Deserialize, Serialize};

/// A `Line` is a time, in milliseconds, that grows evenly with a quantity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The time at none of it.
    pub base: f64,
    /// What one more adds.
    pub slope: f64,
}

impl Line {
    /// Returns the time at `value`.
    pub fn at(self, value: f64) -> f64 {
        self.base + self.slope * value
    }
}

/// An `EngineLatencyModel` is what is believed of the speed of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineLatencyModel {
    /// The time until the first token at an engine with no queue, by the prompt tokens to read.
    pub first: Line,
    /// The time between two events of a stream, by the requests that run on the engine.
    pub gap: Line,
    /// The expected tokens of an answer that one event stands for.
    pub event_tokens: f64,
    /// The samples that it rests on.
    pub samples: u64,
}

/// The pace while nothing was seen: slower than any engine that was measured so far, by 1.1 to 2.2
/// times in reading and 1.3 to 2 times in writing, so that the first plan has too many engines and
/// not too few. It is left behind within the first second with callers.
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

impl EngineLatencyModel {
    /// Returns the time, in milliseconds, that reading prompt tokens takes.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        self.first.slope * tokens
    }

    /// Returns the prompt tokens that are read in a millisecond.
    pub fn prefill_tokens_per_ms(&self) -> f64 {
        1.0 / self.first.slope.max(f64::MIN_POSITIVE)
    }

    /// Returns the time, in milliseconds, that an answer takes in a batch of `batch` requests.
    pub fn decode_ms(&self, tokens: f64, batch: f64) -> f64 {
        tokens / self.event_tokens.max(f64::MIN_POSITIVE) * self.gap.at(batch)
    }

    /// Returns the part of an engine's time, in milliseconds, that an answer takes up in a batch of
    /// `batch` requests.
    pub fn decode_work_ms(&self, tokens: f64, batch: f64) -> f64 {
        self.decode_ms(tokens, batch) / batch.max(1.0)
    }

    /// Returns what a further running request adds, in milliseconds, to an answer of `tokens`.
    pub fn crowding_ms(&self, tokens: f64) -> f64 {
        tokens / self.event_tokens.max(f64::MIN_POSITIVE) * self.gap.slope
    }
}
