//! The servers of each software version that orders must leave.

use std::collections::BTreeMap;

use bulrushhall_core::ZoneName;

use crate::fleet_counts::{CountMarket, CountOrder};

/// The number of servers of a version that orders leave: its streams go on nowhere else, also if one more is lost.
const MIN_SERVERS: u32 = 2;

/// A place where servers are ordered.
type Place = (ZoneName, CountMarket);

/// A `VersionReserve` limits orders, so that each version that serves streams keeps servers.
///
/// An order names a count, and the platform chooses which servers it takes away. So each version is taken to lose all of
/// them.
#[derive(Clone, Debug, Default)]
pub struct VersionReserve {
    present: BTreeMap<Place, BTreeMap<String, u32>>,
    ordered: BTreeMap<Place, u32>,
}

impl VersionReserve {
    /// Adds a server that accepts work.
    pub fn add(&mut self, zone: &ZoneName, market: CountMarket, version: &str) {
        let versions = self.present.entry((zone.clone(), market)).or_default();
        *versions.entry(version.to_owned()).or_default() += 1;
    }

    /// Notes an order that was given and may not be carried out yet.
    pub fn note_ordered(&mut self, order: &CountOrder) {
        self.ordered.insert((order.zone.clone(), order.market), order.count);
    }

    /// Returns an order with at least as many servers as it takes to leave some of each version.
    pub fn limited(&self, order: CountOrder) -> CountOrder {
        let place = (order.zone.clone(), order.market);
        let present = self.count(&place);
        if present <= order.count || self.versions().len() < 2 {
            return order;
        }
        let mut limited = self.clone();
        for count in order.count..present {
            limited.ordered.insert(place.clone(), count);
            if limited.keeps_each_version() {
                return CountOrder { count, ..order };
            }
        }
        CountOrder { count: present, ..order }
    }

    fn keeps_each_version(&self) -> bool {
        self.versions().into_iter().all(|(version, count)| {
            let kept: u32 = self.present.keys().map(|place| self.kept(place, version)).sum();
            count.min(MIN_SERVERS) <= kept
        })
    }

    // The servers of a version that remain in a place whichever are taken away.
    fn kept(&self, place: &Place, version: &str) -> u32 {
        let present = self.count(place);
        let ordered = self.ordered.get(place).copied().unwrap_or(present).min(present);
        let of_version = self.present.get(place).and_then(|versions| versions.get(version));
        of_version.copied().unwrap_or(0).saturating_sub(present - ordered)
    }

    fn count(&self, place: &Place) -> u32 {
        self.present.get(place).map_or(0, |versions| versions.values().sum())
    }

    fn versions(&self) -> BTreeMap<&str, u32> {
        let mut versions = BTreeMap::new();
        for (version, count) in self.present.values().flatten() {
            *versions.entry(version.as_str()).or_default() += count;
        }
        versions
    }
}
