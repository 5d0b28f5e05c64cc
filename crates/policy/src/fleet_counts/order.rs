//! Orders for a number of servers.

use bulrushhall_core::ZoneName;

/// A `CountMarket` is the purchase model of the servers of a count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CountMarket {
    /// Cheap; the platform can reclaim all servers of a zone at once after a notice period.
    Reclaimable,
    /// The servers are kept until the count is reduced.
    OnDemand,
}

/// A `CountOrder` sets the number of servers in one zone and market.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CountOrder {
    /// The zone.
    pub zone: ZoneName,
    /// The market.
    pub market: CountMarket,
    /// The number of servers.
    pub count: u32,
}
