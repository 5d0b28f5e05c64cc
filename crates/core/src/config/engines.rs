//! The number of engines of a service and their capacity.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::{config::CommaList, name::VmClassName};

/// An `EnginesConfig` describes the number of engines of a service and their capacity.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EnginesConfig {
    /// The minimum number of engines.
    #[serde_as(as = "DisplayFromStr")]
    pub least: u32,
    /// The maximum number of engines.
    #[serde_as(as = "DisplayFromStr")]
    pub most: u32,
    /// The number of responses that one engine generates concurrently.
    #[serde_as(as = "DisplayFromStr")]
    pub answers: u32,
    /// The number of availability zones that may fail at once with enough engines left.
    #[serde_as(as = "DisplayFromStr")]
    pub spare_zones: u32,
    /// The VM classes that engines may run on, in order of preference; empty means any.
    #[serde_as(as = "CommaList")]
    pub vm_classes: Vec<VmClassName>,
}

impl Default for EnginesConfig {
    fn default() -> Self {
        EnginesConfig { least: 1, most: 16, answers: 32, spare_zones: 1, vm_classes: Vec::new() }
    }
}
