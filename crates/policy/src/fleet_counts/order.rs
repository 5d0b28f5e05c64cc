//! An order for a number of servers.

use bulrushhall_core::ZoneName;

/// A `CountMarket` tells whether the servers of a count can be taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CountMarket {
    /// Cheap, and taken back after a notice, all of a zone at once.
    Reclaimable,
    /// Kept until the count is lowered.
    OnDemand,
}

/// A `CountOrder` asks for a number of servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CountOrder {
    /// The zone.
    pub zone: ZoneName,
    /// The market.
    pub market: CountMarket,
    /// The number.
    pub count: u32,
}
