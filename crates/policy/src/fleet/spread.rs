//! How many VMs a service needs so that any one availability zone can be lost.

/// A `Spread` is how many VMs a service has in all and in one zone at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spread {
    /// The VMs in all.
    pub total: u32,
    /// The reclaimable VMs in one availability zone at most.
    pub per_zone: u32,
}

impl Spread {
    /// Returns the smallest spread over `zones` zones that leaves `needed` VMs when one is lost.
    pub fn surviving(needed: u32, zones: u32) -> Spread {
        if zones <= 1 {
            return Spread { total: needed, per_zone: needed };
        }
        let total = (needed * zones).div_ceil(zones - 1);
        Spread { total, per_zone: total - needed }
    }
}
