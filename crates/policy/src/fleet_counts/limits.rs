//! What a service allows in each zone.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::ZoneName;

/// A `CountLimits` are what a service allows in each zone, and what it costs there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CountLimits {
    /// The fewest servers in a zone, of both markets together.
    pub min: u32,
    /// The most servers in a zone, of both markets together.
    pub max: u32,
    /// How long a server takes to start.
    pub start: Duration,
    /// The price of a reclaimable server as a part of an on-demand one's; none are sold without.
    pub reclaimable_price: Option<f64>,
    /// The price of an on-demand server by zone.
    pub zones: BTreeMap<ZoneName, f64>,
}

impl CountLimits {
    // How many times the needed number is kept in reclaimable ones: the zones but one hold enough, since
    // one can go at once.
    pub(super) fn reserve(&self) -> f64 {
        let zones = self.zones.len().max(1) as f64;
        if 1.0 < zones { zones / (zones - 1.0) } else { 1.0 }
    }
}
