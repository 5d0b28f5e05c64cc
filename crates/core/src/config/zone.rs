//! Availability zones and the classes of VMs in them.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::{
    config::{CommaList, HourlyPrice},
    name::ZoneName,
};

/// A `ZoneConfig` describes one availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ZoneConfig {
    /// The region that the availability zone lies in.
    pub region: String,
}

/// A `VmClassConfig` describes one class of VMs.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmClassConfig {
    /// The availability zones that offer the class; empty means all.
    #[serde_as(as = "CommaList")]
    pub zones: Vec<ZoneName>,
    /// The number of accelerators of one VM.
    #[serde_as(as = "DisplayFromStr")]
    pub accelerators: u32,
    /// The maximum price of reclaimable VMs; without one, none are bought.
    pub reclaimable_price: Option<HourlyPrice>,
    /// The maximum price of on-demand VMs; without one, none are bought.
    pub on_demand_price: Option<HourlyPrice>,
}

impl Default for ZoneConfig {
    fn default() -> Self {
        ZoneConfig { region: "main".to_owned() }
    }
}

impl Default for VmClassConfig {
    fn default() -> Self {
        VmClassConfig {
            zones: Vec::new(),
            accelerators: 8,
            reclaimable_price: None,
            on_demand_price: None,
        }
    }
}
