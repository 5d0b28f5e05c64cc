//! The observed share of prompt prefixes that home engines cache.

/// The share before any samples, and its weight in samples.
const PRIOR: (f64, f64) = (0.6, 4.0);
/// The weight of earlier samples is multiplied by this at each new one: some fifty samples count.
const DECAY: f64 = 0.98;
/// The least time that the cache must save for a sample: below it, noise of the network decides.
const MIN_SAVED_MS: f64 = 20.0;

/// An `AssumedCache` is what the first token of a request shows about a prefix that is assumed to be cached.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AssumedCache {
    /// The expected time to the first token if the prefix is cached, in milliseconds.
    pub hit_ms: f64,
    /// The expected time if it is not.
    pub miss_ms: f64,
}

/// A `CachedShare` is the share of prefixes that homes cache without a local record, as seen in first tokens.
#[derive(Clone, Copy, Debug)]
pub struct CachedShare {
    weight: f64,
    cached: f64,
}

impl CachedShare {
    /// Records the time to the first token of a request that did not queue at a home.
    pub fn note(&mut self, assumed: AssumedCache, took_ms: f64) {
        let saved = assumed.miss_ms - assumed.hit_ms;
        if saved < MIN_SAVED_MS || !took_ms.is_finite() {
            return;
        }
        let cached = ((assumed.miss_ms - took_ms) / saved).clamp(0.0, 1.0);
        self.weight = self.weight * DECAY + 1.0;
        self.cached = self.cached * DECAY + cached;
    }

    /// Returns the share, between 0 and 1.
    pub fn share(&self) -> f64 {
        let (share, weight) = PRIOR;
        (self.cached + share * weight) / (self.weight + weight)
    }
}

impl Default for CachedShare {
    fn default() -> Self {
        CachedShare { weight: 0.0, cached: 0.0 }
    }
}
