//! How many engines a service has and what each takes on.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::{config::CommaList, name::VmClassName};

/// An `EnginesConfig` tells how many engines a service has and what each takes on.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EnginesConfig {
    /// The fewest engines.
    #[serde_as(as = "DisplayFromStr")]
    pub least: u32,
    /// The most engines.
    #[serde_as(as = "DisplayFromStr")]
    pub most: u32,
    /// The answers that run at once on one engine.
    #[serde_as(as = "DisplayFromStr")]
    pub answers: u32,
    /// The availability zones that may be lost at once with enough engines left.
    #[serde_as(as = "DisplayFromStr")]
    pub spare_zones: u32,
    /// The classes of VMs that engines may run on, best first; none means any.
    #[serde_as(as = "CommaList")]
    pub vm_classes: Vec<VmClassName>,
}

impl Default for EnginesConfig {
    fn default() -> Self {
        EnginesConfig { least: 1, most: 16, answers: 32, spare_zones: 1, vm_classes: Vec::new() }
    }
}
