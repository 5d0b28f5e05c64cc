//! The offers of a cloud.

use bulrushhall_core::ZoneName;
use serde::{Deserialize, Serialize};

/// A `FleetMarket` is the purchase model of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetMarket {
    /// Cheap; the cloud can reclaim the VM after a notice period.
    Reclaimable,
    /// The VM is kept until it is released.
    OnDemand,
}

/// A `Place` is a combination of zone, class and market in which a VM can be bought.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// The availability zone.
    pub zone: ZoneName,
    /// The VM class.
    pub class: String,
    /// The purchase model.
    pub market: FleetMarket,
}

/// A `FleetOffer` is a place with its price.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOffer {
    /// The place.
    pub place: Place,
    /// The price per hour, in thousandths of a cent.
    pub price: u64,
}
