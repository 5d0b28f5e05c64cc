//! The number of VMs that a service needs to survive the loss of any one availability zone.

/// A `Spread` is the number of VMs of a service in total and per availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spread {
    /// The total number of VMs.
    pub total: u32,
    /// The maximum number of reclaimable VMs in one availability zone.
    pub per_zone: u32,
}

impl Spread {
    /// Returns the smallest spread over `zones` zones that leaves `needed` VMs when one zone is
    /// lost.
    pub fn surviving(needed: u32, zones: u32) -> Spread {
        if zones <= 1 {
            return Spread { total: needed, per_zone: needed };
        }
        let total = (needed * zones).div_ceil(zones - 1);
        Spread { total, per_zone: total - needed }
    }
}
