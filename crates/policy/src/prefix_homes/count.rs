//! The number of home engines of one prefix.

use std::time::Duration;

use bulrushhall_core::Stamp;

/// The number of homes that a prefix may have however few engines there are.
const MIN_MAX_HOMES: usize = 2;
/// The share of a home's time that the requests of one prefix may take if prefilling the prefix costs nothing. The
/// rest serves other prompts, and bursts while the number is adjusted.
const MIN_HOME_SHARE: f64 = 0.3;
/// The increase of that share for a prefix whose prefill dominates the requests' own work.
const EXPENSIVE_HOME_SHARE: f64 = 0.3;
/// The load, as a share of what one home fewer may take, below which a home is given up.
const SHRINK_SHARE: f64 = 0.75;
/// How long the load must be that low: several times the averaging time of the uses.
const SHRINK_AFTER: Duration = Duration::from_secs(8);
/// The largest share of a service's engines that are homes of one prefix. It also bounds the effect of false reports.
const MAX_ENGINE_SHARE: f64 = 0.5;

/// A `PrefixLoad` is what the requests with one prefix ask of its homes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefixLoad {
    /// The requests per second of all nodes.
    pub rate: f64,
    /// The engine time of one request whose prefix is cached, in milliseconds.
    pub request_ms: f64,
    /// The engine time of prefilling the prefix, in milliseconds.
    pub prefill_ms: f64,
}

/// A `HomeCount` is the number of homes of a prefix: it rises at once with the load and falls after a while.
#[derive(Clone, Copy, Debug, Default)]
pub struct HomeCount {
    count: usize,
    low_since: Option<Stamp>,
}

impl HomeCount {
    /// Adjusts the number to the load and returns it; `engines` is how many the service has.
    pub fn update(&mut self, now: Stamp, load: PrefixLoad, engines: usize) -> usize {
        let wanted = load.homes();
        let ceiling = wanted.ceil().max(1.0) as usize;
        if self.count < ceiling {
            (self.count, self.low_since) = (ceiling, None);
        } else if wanted < (self.count - 1) as f64 * SHRINK_SHARE {
            let since = *self.low_since.get_or_insert(now);
            if SHRINK_AFTER <= now.since(since) {
                (self.count, self.low_since) = (ceiling, None);
            }
        } else {
            self.low_since = None;
        }
        let max = (engines as f64 * MAX_ENGINE_SHARE).ceil() as usize;
        self.count = self.count.min(max.max(MIN_MAX_HOMES));
        self.count
    }

    /// Returns the current number.
    pub fn get(&self) -> usize {
        self.count
    }
}

impl PrefixLoad {
    // Returns the load in homes that are used as far as they may be.
    fn homes(self) -> f64 {
        let request_ms = self.request_ms.max(0.0);
        let prefill_ms = self.prefill_ms.max(0.0);
        let expensive = prefill_ms / (prefill_ms + request_ms).max(f64::MIN_POSITIVE);
        let share = MIN_HOME_SHARE + EXPENSIVE_HOME_SHARE * expensive;
        let homes = self.rate.max(0.0) * request_ms / 1_000.0 / share;
        if homes.is_finite() { homes } else { 0.0 }
    }
}
