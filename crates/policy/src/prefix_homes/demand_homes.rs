//! The homes of one request's prefix, as the choice of an engine needs them.

use std::time::Duration;

use crate::{engine_choice::EngineView, prefix_homes::rank_homes};

/// The expected uses from which a home has almost certainly got the prefix.
const MANY_USES: f64 = 8.0;

/// `DemandHomes` are the homes of one request's prefix.
#[derive(Clone, Debug, Default)]
pub struct DemandHomes {
    /// The tokens of the prefix.
    pub prefix_tokens: u32,
    /// The share of the prefix that each engine is expected to cache without a local record, in the order of the
    /// engines; 0 at engines that are no homes.
    pub shares: Vec<f64>,
}

/// A `HomeQuery` is what the homes of a request's prefix follow from.
#[derive(Clone, Copy, Debug)]
pub struct HomeQuery {
    /// The prefix.
    pub prefix: u64,
    /// Its tokens.
    pub tokens: u32,
    /// The number of its homes.
    pub count: usize,
    /// The uses per second at each of them.
    pub rate: f64,
    /// The share that homes usually cache.
    pub cached_share: f64,
    /// Whether the speeds of engines are the same on all nodes, so that homes are weighted by them.
    pub by_speed: bool,
}

impl DemandHomes {
    /// Returns the homes; `ages` is how long each engine's incarnation has been known. A new one holds no prefix until
    /// it was used for the first time.
    pub fn new(query: HomeQuery, engines: &[EngineView], ages: &[Duration]) -> DemandHomes {
        let mut shares = vec![0.0; engines.len()];
        for at in rank_homes(query.prefix, engines, query.count, query.by_speed) {
            let age = ages.get(at).copied().unwrap_or(Duration::MAX).as_secs_f64();
            let uses = query.rate.max(0.0) * age;
            let used = if uses < MANY_USES { 1.0 - (-uses).exp() } else { 1.0 };
            // A home without any chance to hold the prefix is a home nevertheless.
            shares[at] = (query.cached_share * used).max(f64::MIN_POSITIVE);
        }
        DemandHomes { prefix_tokens: query.tokens, shares }
    }

    /// Returns the share that the engine at a position is expected to cache.
    pub fn share(&self, at: usize) -> f64 {
        self.shares.get(at).copied().unwrap_or(0.0)
    }
}
