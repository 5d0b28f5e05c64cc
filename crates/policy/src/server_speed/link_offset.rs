//! What a node's own link adds to the times of all servers.

use std::time::Duration;

use bulrushhall_core::Stamp;

use crate::server_speed::SpeedSums;

/// The time constant of the samples: a link degrades within seconds.
const TIME_CONSTANT: Duration = Duration::from_secs(3);
/// The weight of "nothing" in the offset, in samples.
const NO_OFFSET_WEIGHT: f64 = 4.0;
/// The bound of one deviation: a single slow server must not look like a slow link.
const CLIP_LOG: f64 = 0.7;

/// The offset below which a link counts as usual. Without it, nodes with usual links would correct their times for what the
/// degraded links of others add to the estimates, and the estimates would never recover.
const MIN_OFFSET: f64 = 0.15;

/// A `LinkOffset` is the mean log ratio by which a node's samples exceed what all nodes know of the same servers.
///
/// A degraded link lengthens the answers of all servers at one node. Without it, the node would report all of them as slow.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkOffset {
    sums: SpeedSums,
    updated_at: Stamp,
}

impl LinkOffset {
    /// Records the measured time as a multiple of the expected one, at a server with the estimate `log`.
    pub fn note(&mut self, now: Stamp, ratio: f64, weight: f64, log: f64) {
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        self.sums = self.decayed(now);
        self.updated_at = now;
        self.sums.add((ratio.ln() - log).clamp(-CLIP_LOG, CLIP_LOG), weight);
    }

    /// Returns the factor by which the link lengthens times.
    pub fn factor(&self, now: Stamp) -> f64 {
        let sums = self.decayed(now);
        let offset = sums.sum / (sums.weight + NO_OFFSET_WEIGHT);
        if offset < MIN_OFFSET { 1.0 } else { offset.exp() }
    }

    fn decayed(&self, now: Stamp) -> SpeedSums {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.sums.scaled((-elapsed / TIME_CONSTANT.as_secs_f64()).exp())
    }
}
