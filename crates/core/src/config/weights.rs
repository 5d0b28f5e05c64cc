//! Weights of the terms in scheduling decisions.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// `Weights` set how much each term counts in scheduling decisions.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// The weight of cost.
    #[serde_as(as = "DisplayFromStr")]
    pub cost: f64,
    /// The weight of recomputed tokens.
    #[serde_as(as = "DisplayFromStr")]
    pub recomputed: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Weights { cost: 1.0, recomputed: 1.0 }
    }
}
