//! The options of placement.

use std::time::Duration;

/// `PlacementOptions` are the weights and bounds of placement.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementOptions {
    /// The weight of the price of an engine.
    pub cost: f64,
    /// The weight of tokens that are expected to be recomputed after a reclaim.
    pub recomputed: f64,
    /// The share of a prompt that its home engine is assumed to cache without a hint.
    pub home_cached_share: f64,
    /// The maximum load of a home engine, as a multiple of the mean load plus one request.
    pub home_load_factor: f64,
    /// The number of best engines among which one is chosen at random.
    pub top_candidates: usize,
    /// How much worse than the best score a chosen engine may be.
    pub margin: Duration,
    /// How much worse than the best score a chosen engine may be, relative to the best score; the
    /// larger of both margins applies.
    pub relative_margin: f64,
    /// The time added to the score of the most expensive engine, at a cost weight of 1.
    pub price_penalty: Duration,
    /// The maximum number of blocks tracked for one engine.
    pub max_hinted_blocks: usize,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        PlacementOptions {
            cost: 1.0,
            recomputed: 1.0,
            home_cached_share: 0.5,
            home_load_factor: 1.25,
            top_candidates: 6,
            margin: Duration::from_millis(8),
            relative_margin: 0.3,
            price_penalty: Duration::from_millis(2),
            max_hinted_blocks: 16_384,
        }
    }
}
