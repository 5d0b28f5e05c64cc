//! The limits on the number of servers of a service.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::ZoneName;

/// `CountLimits` are the limits on the number of servers of a service per zone, and their prices.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CountLimits {
    /// The minimum number of servers in a zone, over both markets.
    pub min: u32,
    /// The maximum number of servers in a zone, over both markets.
    pub max: u32,
    /// The startup time of a server.
    pub start: Duration,
    /// The price of a reclaimable server relative to an on-demand one; none if there is no
    /// reclaimable market.
    pub reclaimable_price: Option<f64>,
    /// The price of an on-demand server in each zone.
    pub zones: BTreeMap<ZoneName, f64>,
}

impl CountLimits {
    // Returns the ratio of planned to needed reclaimable servers: the need must still be met when
    // all servers of one zone are reclaimed at once.
    pub(super) fn reserve_factor(&self) -> f64 {
        let zones = self.zones.len().max(1) as f64;
        if 1.0 < zones { zones / (zones - 1.0) } else { 1.0 }
    }
}
