//! The cloud API that sells VMs and announces reclaims.

use bulrushhall_core::{VmName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::Call;

/// A `Market` states whether the cloud may reclaim a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Market {
    /// Cheaper, and reclaimed after a notice.
    Reclaimable,
    /// Kept until it is released.
    OnDemand,
}

/// An `Offer` is a class of VMs that can be bought in an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The availability zone.
    pub zone: ZoneName,
    /// The class of VM.
    pub class: String,
    /// Whether the cloud may reclaim the VM.
    pub market: Market,
    /// The price per hour, in thousandths of a cent.
    pub price: u64,
}

/// A `Purchase` is an order for one VM; repeating it with the same token buys no second one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Purchase {
    /// The token that makes the purchase idempotent.
    pub token: String,
    /// The availability zone.
    pub zone: ZoneName,
    /// The class of VM.
    pub class: String,
    /// Whether the cloud may reclaim the VM.
    pub market: Market,
    /// The tag that identifies the owner of the VM later.
    pub tag: String,
}

/// A `Notice` announces that a VM is about to be reclaimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The VM.
    pub vm: VmName,
    /// The time left at the time of the response, in milliseconds.
    pub left_ms: u64,
}

/// A `Cloud` sells VMs and announces reclaims.
pub trait Cloud: Send + Sync {
    /// Gets the current offers.
    fn offers(&self) -> Call<'_, Vec<Offer>>;

    /// Buys a VM and returns its name.
    fn buy(&self, purchase: Purchase) -> Call<'_, VmName>;

    /// Releases a VM.
    fn release<'a>(&'a self, vm: &'a VmName) -> Call<'a, ()>;

    /// Gets the notices that are in force.
    fn notices(&self) -> Call<'_, Vec<Notice>>;
}
