//! A linear fit that is robust against outliers.

use crate::observed::Line;

/// The number of samples that are kept: enough to include rare large quantities, and few enough
/// that a change of speed shows within seconds at some tens of samples per second.
const SAMPLES: usize = 96;
/// The quantile of the samples that the line fits. It is low because disturbances, such as the
/// prompt of another request or a pause of the node, can only lengthen a time.
const QUANTILE: f64 = 0.35;
/// The number of iterations of the fit; further ones change the line by less than 1 %.
const ITERATIONS: usize = 8;
/// The weight of each of the two prior points, in samples: until the samples cover a range of
/// quantities, the prior determines the ratio of base to slope.
const PRIOR_WEIGHT: f64 = 3.0;
/// The ratio between the quantities of the two prior points.
const PRIOR_RATIO: f64 = 16.0;
/// The relative deviation from the line below which the weight of a sample no longer increases.
const MIN_DEVIATION: f64 = 0.02;

/// A `LineFit` is a linear quantile regression of a time on a quantity.
///
/// The line fits a quantile of the times rather than their mean, so that queues and pauses of the
/// node do not distort it. Deviations are relative, since long times vary more than short ones.
#[derive(Clone, Debug)]
pub struct LineFit {
    unit: f64,
    prior: Line,
    samples: Vec<Sample>,
    total: u64,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    value: f64,
    time: f64,
    weight: f64,
}

impl LineFit {
    /// Returns a fit without samples; the lower of the two prior points is at the quantity `unit`.
    pub fn new(unit: f64, prior: Line) -> LineFit {
        LineFit { unit, prior, samples: Vec::with_capacity(SAMPLES), total: 0 }
    }

    /// Records the time at a quantity; values that are not finite and times that are not positive
    /// are ignored.
    pub fn note(&mut self, value: f64, time: f64) {
        if !value.is_finite() || !time.is_finite() || time <= 0.0 {
            return;
        }
        let sample = Sample { value, time, weight: 1.0 };
        if self.samples.len() < SAMPLES {
            self.samples.push(sample);
        } else {
            self.samples[(self.total % SAMPLES as u64) as usize] = sample;
        }
        self.total += 1;
    }

    /// Returns the total number of samples recorded.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the fitted line.
    pub fn line(&self) -> Line {
        if self.samples.is_empty() {
            return self.prior;
        }
        let mut line = self.scaled_prior();
        let mut points = self.samples.clone();
        for value in [self.unit, self.unit * PRIOR_RATIO] {
            points.push(Sample { value, time: line.at(value), weight: PRIOR_WEIGHT });
        }
        for _ in 0..ITERATIONS {
            line = reweighted_fit(&points, line);
        }
        line
    }

    // Returns the prior, scaled to the samples.
    fn scaled_prior(&self) -> Line {
        let ratio = |sample: &Sample| sample.time / self.prior.at(sample.value);
        let mut ratios: Vec<f64> = self.samples.iter().map(ratio).collect();
        let at = (QUANTILE * (ratios.len() - 1) as f64) as usize;
        let (_, factor, _) = ratios.select_nth_unstable_by(at, f64::total_cmp);
        Line { base: self.prior.base * *factor, slope: self.prior.slope * *factor }
    }
}

// Returns the result of one iteration of reweighted least squares for the quantile. A negative base
// or slope is meaningless, so the line is then forced through the origin or to be level.
fn reweighted_fit(points: &[Sample], from: Line) -> Line {
    let (mut weights, mut values, mut times, mut squares, mut products) = (0.0, 0.0, 0.0, 0.0, 0.0);
    for &Sample { value, time, weight } in points {
        let expected = from.at(value).max(f64::MIN_POSITIVE);
        let deviation = (time - expected) / expected;
        let side_weight = if deviation < 0.0 { 1.0 - QUANTILE } else { QUANTILE };
        let weight =
            weight * side_weight / deviation.abs().max(MIN_DEVIATION) / (expected * expected);
        weights += weight;
        values += weight * value;
        times += weight * time;
        squares += weight * value * value;
        products += weight * value * time;
    }
    let determinant = weights * squares - values * values;
    if determinant <= 0.0 || !determinant.is_finite() {
        return from;
    }
    let slope = (weights * products - values * times) / determinant;
    let base = (times - slope * values) / weights;
    if slope < 0.0 {
        return Line { base: times / weights, slope: 0.0 };
    }
    if base < 0.0 {
        return Line { base: 0.0, slope: products / squares };
    }
    Line { base, slope }
}
