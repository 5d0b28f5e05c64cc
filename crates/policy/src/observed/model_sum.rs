//! The sum of the latency models of several nodes.

use crate::observed::{EngineLatencyModel, Line};

/// The weight of a node's model at most, as many samples as its fits keep.
const MAX_WEIGHT: f64 = 96.0;

/// A `ModelSum` is the sum of the latency models of several nodes, weighted by their samples.
///
/// A model from the samples of one node may be off by a half: with 30 nodes before 140 engines, one node took 63 prompt tokens per
/// millisecond from 36 samples, and another one 38 from 84 samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelSum {
    weight: f64,
    first: Line,
    gap: Line,
    event_tokens: f64,
}

impl ModelSum {
    /// The number of numbers that nodes exchange.
    pub const NUMBERS: usize = 6;

    /// Returns the sum of one model.
    pub fn of(model: &EngineLatencyModel) -> ModelSum {
        let weight = (model.samples as f64).min(MAX_WEIGHT);
        let weighted = |line: Line| Line { base: line.base * weight, slope: line.slope * weight };
        ModelSum {
            weight,
            first: weighted(model.first),
            gap: weighted(model.gap),
            event_tokens: model.event_tokens * weight,
        }
    }

    /// Returns the sum with other models.
    pub fn plus(self, other: ModelSum) -> ModelSum {
        let sum = |a: Line, b: Line| Line { base: a.base + b.base, slope: a.slope + b.slope };
        ModelSum {
            weight: self.weight + other.weight,
            first: sum(self.first, other.first),
            gap: sum(self.gap, other.gap),
            event_tokens: self.event_tokens + other.event_tokens,
        }
    }

    /// Returns the weighted mean of the models; none if the sum is of no model, or if a time or a speed is not positive.
    pub fn mean(&self) -> Option<EngineLatencyModel> {
        let per_weight =
            |line: Line| Line { base: line.base / self.weight, slope: line.slope / self.weight };
        let (first, gap) = (per_weight(self.first), per_weight(self.gap));
        let event_tokens = self.event_tokens / self.weight;
        let is_line = |line: Line| {
            line.base.is_finite() && 0.0 <= line.base && line.slope.is_finite() && 0.0 <= line.slope
        };
        let is_valid = 0.0 < self.weight
            && is_line(first)
            && is_line(gap)
            && 0.0 < first.slope
            && event_tokens.is_finite()
            && 0.0 < event_tokens;
        let samples = self.weight as u64;
        is_valid.then_some(EngineLatencyModel { first, gap, event_tokens, samples })
    }

    /// Returns the numbers that nodes exchange.
    pub fn to_numbers(self) -> [f64; ModelSum::NUMBERS] {
        let ModelSum { weight, first, gap, event_tokens } = self;
        [weight, first.base, first.slope, gap.base, gap.slope, event_tokens]
    }

    /// Returns the sum that other nodes sent.
    pub fn from_numbers(numbers: [f64; ModelSum::NUMBERS]) -> ModelSum {
        let [weight, first_base, first_slope, gap_base, gap_slope, event_tokens] = numbers;
        ModelSum {
            weight,
            first: Line { base: first_base, slope: first_slope },
            gap: Line { base: gap_base, slope: gap_slope },
            event_tokens,
        }
    }
}
