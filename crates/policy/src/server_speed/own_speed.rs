//! One node's own samples of a server's speed.

use std::time::Duration;

use bulrushhall_core::Stamp;

use crate::server_speed::{MAX_LOG, SpeedReport, SpeedSums};

/// The time constant of the lasting samples: at 2.4 answers a second over all nodes they weigh like 24.
const LASTING: Duration = Duration::from_secs(10);
/// The time constant of the recent samples: longer than a brief slowdown of 0.6 s.
const RECENT: Duration = Duration::from_millis(600);
/// The bound of a sample's deviation from the estimate in the lasting sums: brief slowdowns and queues are longer.
const CLIP_LOG: f64 = 0.35;
/// The weight over all nodes below which deviations are not clipped: the estimate may be far off.
const MIN_CLIP_WEIGHT: f64 = 10.0;

/// The weight below which recent samples are dropped. The rests of many nodes would add up, since none of them is worth a
/// message.
const MIN_RECENT: f64 = 0.2;

/// An `OwnSpeed` holds one node's samples of one quantity of one server's incarnation.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnSpeed {
    sums: SpeedReport,
    updated_at: Stamp,
}

impl OwnSpeed {
    /// Records a sample: the measured time as a multiple of the expected one. `log` is the estimate over all nodes, of
    /// `known` samples. Ratios that are not positive or not finite are ignored.
    pub fn note(&mut self, now: Stamp, ratio: f64, weight: f64, (log, known): (f64, f64)) {
        if !ratio.is_finite() || ratio <= 0.0 || !(0.0..=1.0).contains(&weight) {
            return;
        }
        self.sums = self.report(now);
        self.updated_at = now;
        let sample = ratio.ln().clamp(-MAX_LOG, MAX_LOG);
        self.sums.recent.add(sample, weight);
        let clip = if known < MIN_CLIP_WEIGHT { MAX_LOG * 2.0 } else { CLIP_LOG };
        self.sums.lasting.add(sample.clamp(log - clip, log + clip), weight);
    }

    /// Replaces the lasting samples by the recent ones, after a change of speed.
    pub fn restart(&mut self, now: Stamp) {
        let recent = self.report(now).recent;
        self.sums = SpeedReport { lasting: recent, recent };
        self.updated_at = now;
    }

    /// Returns the decayed sums at `now`, with bounded weights.
    pub fn report(&self, now: Stamp) -> SpeedReport {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let decay = |time_constant: Duration| (-elapsed / time_constant.as_secs_f64()).exp();
        let lasting: SpeedSums = self.sums.lasting.scaled(decay(LASTING));
        let recent = self.sums.recent.scaled(decay(RECENT));
        let recent = if recent.weight < MIN_RECENT { SpeedSums::default() } else { recent };
        SpeedReport { lasting, recent }.bounded(1)
    }
}
