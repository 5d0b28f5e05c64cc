//! The latency of calls to a plain service.

use std::time::Duration;

use bulrushhall_core::bounded_seconds;

use crate::observed::RecentSamples;

/// The number of samples that are kept: two seconds of calls at some tens per second.
const SAMPLES: usize = 64;
/// The initial median and 95th percentile: short calls, and a timeout after which a lost call can
/// be retried before its caller gives up.
const PRIOR: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(80));
/// The quantile that [`CallTimes::p95`] returns.
const P95: f64 = 0.95;
/// The number of calls between updates of the estimates, and before the first one.
const UPDATE_INTERVAL: u64 = 8;

/// `CallTimes` are quantiles of the recent call latency of one plain service.
#[derive(Clone, Debug)]
pub struct CallTimes {
    recent: RecentSamples<SAMPLES>,
    median: Duration,
    p95: Duration,
}

impl Default for CallTimes {
    fn default() -> Self {
        CallTimes { recent: RecentSamples::default(), median: PRIOR.0, p95: PRIOR.1 }
    }
}

impl CallTimes {
    /// Records a call that was answered.
    pub fn note(&mut self, took: Duration) {
        self.recent.note(took.as_secs_f64());
        if !self.recent.total().is_multiple_of(UPDATE_INTERVAL) {
            return;
        }
        let quantile = |share| self.recent.quantile(share).map(bounded_seconds);
        self.median = quantile(0.5).unwrap_or(self.median);
        self.p95 = quantile(P95).unwrap_or(self.p95);
    }

    /// Returns the median latency.
    pub fn median(&self) -> Duration {
        self.median
    }

    /// Returns the longest latency of the calls that are kept; none without calls.
    pub fn longest(&self) -> Option<Duration> {
        self.recent.quantile(1.0).map(bounded_seconds)
    }

    /// Returns the 95th percentile of the latency.
    pub fn p95(&self) -> Duration {
        self.p95
    }
}
