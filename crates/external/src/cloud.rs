//! The cloud API that sells VMs and announces reclaims.

use bulrushhall_core::{VmName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::Call;

/// A `Market` tells whether a VM can be taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Market {
    /// Cheap, and taken back after a notice.
    Reclaimable,
    /// Kept until it is released.
    OnDemand,
}

/// An `Offer` is a class of VMs that can be bought in an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The availability zone.
    pub zone: ZoneName,
    /// The class of machine.
    pub class: String,
    /// Whether its VMs can be taken back.
    pub market: Market,
    /// The price of an hour, in thousandths of a cent.
    pub price: u64,
}

/// A `Purchase` asks for one VM; asking again with the same token buys no second one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Purchase {
    /// The token that makes the purchase idempotent.
    pub token: String,
    /// The availability zone.
    pub zone: ZoneName,
    /// The class of machine.
    pub class: String,
    /// Whether the VM may be taken back.
    pub market: Market,
    /// The tag that tells later whose VM it is.
    pub tag: String,
}

/// A `Notice` announces that a VM is taken back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The VM.
    pub vm: VmName,
    /// The milliseconds that are left, at the time of the answer.
    pub left_ms: u64,
}

/// A `Cloud` sells VMs and announces reclaims.
pub trait Cloud: Send + Sync {
    /// Gets what can be bought now.
    fn offers(&self) -> Call<'_, Vec<Offer>>;

    /// Buys a VM and returns its name.
    fn buy(&self, purchase: Purchase) -> Call<'_, VmName>;

    /// Gives a VM back.
    fn release<'a>(&'a self, vm: &'a VmName) -> Call<'a, ()>;

    /// Gets the notices that are in force.
    fn notices(&self) -> Call<'_, Vec<Notice>>;
}
