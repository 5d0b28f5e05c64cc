//! The weights and bounds of placement.

use std::time::Duration;

/// `PlacementOptions` weigh what counts in placement.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementOptions {
    /// The weight of cost.
    pub cost: f64,
    /// The weight of recomputed tokens.
    pub recomputed: f64,
    /// The share of a prompt that its home engine is believed to hold without any hint.
    pub home_share: f64,
    /// How many times the mean load an engine may have and still be a home.
    pub load_bound: f64,
    /// The engines that the random choice is made of.
    pub finalists: usize,
    /// How much worse than the best a finalist may be.
    pub margin: Duration,
    /// How much worse than the best a finalist may be, as a part of the best prediction.
    pub relative_margin: f64,
    /// The time that the dearest engine is behind the cheapest, at a cost weight of 1.
    pub price_penalty: Duration,
    /// The blocks known for one engine at most.
    pub hinted_blocks: usize,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        PlacementOptions {
            cost: 1.0,
            recomputed: 1.0,
            home_share: 0.5,
            load_bound: 1.25,
            finalists: 6,
            margin: Duration::from_millis(8),
            relative_margin: 0.3,
            price_penalty: Duration::from_millis(2),
            hinted_blocks: 16_384,
        }
    }
}
