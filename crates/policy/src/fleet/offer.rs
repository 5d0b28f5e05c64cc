//! What can be bought.

use bulrushhall_core::ZoneName;
use serde::{Deserialize, Serialize};

/// A `FleetMarket` tells whether a VM can be taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetMarket {
    /// Cheap, and taken back after a notice.
    Reclaimable,
    /// Kept until it is released.
    OnDemand,
}

/// A `Place` is where and how a VM can be bought.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// The availability zone.
    pub zone: ZoneName,
    /// The class of machine.
    pub class: String,
    /// Whether the VM can be taken back.
    pub market: FleetMarket,
}

/// A `FleetOffer` is a place and its price.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOffer {
    /// The place.
    pub place: Place,
    /// The price of an hour, in thousandths of a cent.
    pub price: u64,
}
