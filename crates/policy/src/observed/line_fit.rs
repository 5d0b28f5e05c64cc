//! A straight line through samples that are often disturbed.

use crate::observed::Line;

/// The samples that are held: enough that the rare large ones are among them, few enough that a change
/// of speed shows within seconds at some tens of samples a second.
const HELD: usize = 96;
/// The part of the samples that lies below the line: what disturbs a time, another's prompt or a pause
/// of the node, only ever lengthens it.
const BELOW: f64 = 0.35;
/// The rounds in which the line is improved; it moves by less than 1 in 100 after these.
const ROUNDS: usize = 8;
/// What each of the two points of the prior counts, in samples: until the samples spread, the prior
/// tells how much of a time is its base.
const PRIOR_WEIGHT: f64 = 3.0;
/// How many times the larger of the two points of the prior is the smaller one.
const PRIOR_SPREAD: f64 = 16.0;
/// The relative distance from the line below which a sample weighs no more.
const NEAR: f64 = 0.02;

/// A `LineFit` learns how a time grows with a quantity.
///
/// The line is a quantile of the times, not their mean: neither a queue nor a pause of the node bends
/// it. Distances are relative, since a long time is off by more than a short one.
#[derive(Clone, Debug)]
pub struct LineFit {
    unit: f64,
    prior: Line,
    samples: Vec<Sample>,
    seen: u64,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    value: f64,
    time: f64,
    weight: f64,
}

impl LineFit {
    /// Returns a fit that nothing was noted for; the points of the prior lie at `unit` and above.
    pub fn new(unit: f64, prior: Line) -> LineFit {
        LineFit { unit, prior, samples: Vec::with_capacity(HELD), seen: 0 }
    }

    /// Notes that `time` was taken where the quantity was `value`; what is no positive time is left out.
    pub fn note(&mut self, value: f64, time: f64) {
        if !value.is_finite() || !time.is_finite() || time <= 0.0 {
            return;
        }
        let sample = Sample { value, time, weight: 1.0 };
        if self.samples.len() < HELD {
            self.samples.push(sample);
        } else {
            self.samples[(self.seen % HELD as u64) as usize] = sample;
        }
        self.seen += 1;
    }

    /// Returns the number of samples noted.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// Returns the line.
    pub fn line(&self) -> Line {
        if self.samples.is_empty() {
            return self.prior;
        }
        let mut line = self.scaled_prior();
        let mut points = self.samples.clone();
        for value in [self.unit, self.unit * PRIOR_SPREAD] {
            points.push(Sample { value, time: line.at(value), weight: PRIOR_WEIGHT });
        }
        for _ in 0..ROUNDS {
            line = weighted(&points, line);
        }
        line
    }

    // The prior at the speed that the samples show.
    fn scaled_prior(&self) -> Line {
        let ratio = |sample: &Sample| sample.time / self.prior.at(sample.value);
        let mut ratios: Vec<f64> = self.samples.iter().map(ratio).collect();
        let at = (BELOW * (ratios.len() - 1) as f64) as usize;
        let (_, factor, _) = ratios.select_nth_unstable_by(at, f64::total_cmp);
        Line { base: self.prior.base * *factor, slope: self.prior.slope * *factor }
    }
}

// One round of reweighted least squares towards the quantile. Neither a base nor a slope below zero
// means anything, so the line is then forced through the origin, or level.
fn weighted(points: &[Sample], from: Line) -> Line {
    let (mut total, mut values, mut times, mut squares, mut products) = (0.0, 0.0, 0.0, 0.0, 0.0);
    for &Sample { value, time, weight } in points {
        let expected = from.at(value).max(f64::MIN_POSITIVE);
        let off = (time - expected) / expected;
        let side = if off < 0.0 { 1.0 - BELOW } else { BELOW };
        let weight = weight * side / off.abs().max(NEAR) / (expected * expected);
        total += weight;
        values += weight * value;
        times += weight * time;
        squares += weight * value * value;
        products += weight * value * time;
    }
    let spread = total * squares - values * values;
    if spread <= 0.0 || !spread.is_finite() {
        return from;
    }
    let slope = (total * products - values * times) / spread;
    let base = (times - slope * values) / total;
    if slope < 0.0 {
        return Line { base: times / total, slope: 0.0 };
    }
    if base < 0.0 {
        return Line { base: 0.0, slope: products / squares };
    }
    Line { base, slope }
}
