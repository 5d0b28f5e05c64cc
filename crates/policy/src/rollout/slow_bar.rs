//! From which time on an answer counts as slow.

use std::time::Duration;

use crate::observed::RecentSamples;

/// The number of samples that are kept.
const SAMPLES: usize = 64;
/// The fewest samples on which the bar rests.
const MIN_SAMPLES: u64 = 16;
/// The quantile of the usual answers, and how many times slower than it a slow one is.
const USUAL_QUANTILE: f64 = 0.95;
const SLOW_FACTOR: f64 = 2.0;
/// The bounds of the bar, as multiples of the expected time. The upper one holds without samples.
const BAR_BOUNDS: (f64, f64) = (2.5, 8.0);
/// The shortest expected time: the noise of shorter ones says nothing.
const MIN_EXPECTED: Duration = Duration::from_millis(20);

/// A `SlowBar` compares the times of answers with the expected ones, by the usual ratio between them.
#[derive(Clone, Debug, Default)]
pub struct SlowBar {
    ratios: RecentSamples<SAMPLES>,
}

impl SlowBar {
    /// Notes the time of a usual answer.
    pub fn note(&mut self, expected: Duration, took: Duration) {
        self.ratios.note(ratio(expected, took));
    }

    /// Returns whether an answer took several times longer than usual ones.
    pub fn is_slow(&self, expected: Duration, took: Duration) -> bool {
        let (min, max) = BAR_BOUNDS;
        let usual = self.ratios.quantile(USUAL_QUANTILE);
        let usual = usual.filter(|_| MIN_SAMPLES <= self.ratios.total());
        let bar = usual.map_or(max, |usual| (usual * SLOW_FACTOR).clamp(min, max));
        bar < ratio(expected, took)
    }
}

fn ratio(expected: Duration, took: Duration) -> f64 {
    took.as_secs_f64() / expected.max(MIN_EXPECTED).as_secs_f64()
}
