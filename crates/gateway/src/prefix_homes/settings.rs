//! The settings for the home engines of prompt prefixes.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// `PrefixSettings` are the settings for the home engines of prompt prefixes.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PrefixSettings {
    /// Whether the number of a prefix's homes follows its use over all nodes.
    #[serde_as(as = "DisplayFromStr")]
    pub homes_by_demand: bool,
}
