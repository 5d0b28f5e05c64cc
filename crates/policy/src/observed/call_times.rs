//! How long the calls of a plain service take.

use std::time::Duration;

use crate::observed::RecentSamples;

/// The calls that are held: two seconds' worth at some tens a second.
const HELD: usize = 64;
/// The median and the long end while none was seen: short calls, and a silence after which one that
/// is lost is sent again before its caller gives up.
const PRIOR: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(80));
/// The share of calls that take no longer than the long end.
const LONG_SHARE: f64 = 0.95;
/// After how many calls the figures are drawn anew, the first time too.
const DRAWN_EACH: u64 = 8;

/// `CallTimes` are how long the calls of one plain service took lately.
#[derive(Clone, Debug)]
pub struct CallTimes {
    recent: RecentSamples<HELD>,
    median: Duration,
    p95: Duration,
}

impl Default for CallTimes {
    fn default() -> Self {
        CallTimes { recent: RecentSamples::default(), median: PRIOR.0, p95: PRIOR.1 }
    }
}

impl CallTimes {
    /// Takes in a call that was answered.
    pub fn note(&mut self, took: Duration) {
        self.recent.note(took.as_secs_f64());
        if !self.recent.seen().is_multiple_of(DRAWN_EACH) {
            return;
        }
        let quantile = |share| self.recent.quantile(share).map(Duration::from_secs_f64);
        self.median = quantile(0.5).unwrap_or(self.median);
        self.p95 = quantile(LONG_SHARE).unwrap_or(self.p95);
    }

    /// Returns the time that half of the calls take at most.
    pub fn median(&self) -> Duration {
        self.median
    }

    /// Returns the time that almost all calls take at most.
    pub fn p95(&self) -> Duration {
        self.p95
    }
}
