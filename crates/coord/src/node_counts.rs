//! Counts of all nodes that only rise, merged from messages that may be lost, repeated or late.

use std::collections::{BTreeMap, BTreeSet};

use bulrushhall_core::{Incarnation, ZoneName};

/// A `Count` is a number, or several, that only rises at its source.
pub trait Count: Copy + Default {
    /// Returns the sum.
    fn plus(self, other: Self) -> Self;

    /// Returns the greater, for each number.
    fn greater(self, other: Self) -> Self;
}

impl Count for u64 {
    fn plus(self, other: u64) -> u64 {
        self.saturating_add(other)
    }

    fn greater(self, other: u64) -> u64 {
        self.max(other)
    }
}

/// A `CountScope` is the set of nodes whose counts are merged.
#[derive(Clone, Copy, Debug)]
pub enum CountScope<'a> {
    /// One incarnation of a node in an availability zone.
    Incarnation(Incarnation, &'a ZoneName),
    /// All nodes of an availability zone.
    Zone(&'a ZoneName),
    /// All nodes except this one.
    Others,
}

/// `NodeCounts` are the counts of all nodes by key, as far as this node has received them.
///
/// The counts of one incarnation only rise, so duplicates and reordering are harmless: the greatest
/// count wins. Every node keeps the counts of all nodes, so that those of a node that dies are not
/// lost. A sum forwarded by a relay is never more than the true count, so the greatest wins there too.
#[derive(Clone, Debug)]
pub struct NodeCounts<K, V> {
    incarnations: BTreeMap<Incarnation, IncarnationCounts<K, V>>,
    /// The sums of zones as their relays reported them.
    zones: BTreeMap<ZoneName, BTreeMap<K, V>>,
    /// The sum of all other nodes as a relay reported it.
    others: BTreeMap<K, V>,
}

/// The `IncarnationCounts` are the counts of one incarnation of a node.
#[derive(Clone, Debug)]
struct IncarnationCounts<K, V> {
    zone: ZoneName,
    counts: BTreeMap<K, V>,
}

impl<K, V> Default for NodeCounts<K, V> {
    fn default() -> Self {
        NodeCounts {
            incarnations: BTreeMap::new(),
            zones: BTreeMap::new(),
            others: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone, V: Count> NodeCounts<K, V> {
    /// Returns the counts of one incarnation, to be increased.
    pub fn counts_mut(&mut self, incarnation: Incarnation, zone: &ZoneName) -> &mut BTreeMap<K, V> {
        let new = || IncarnationCounts { zone: zone.clone(), counts: BTreeMap::new() };
        &mut self.incarnations.entry(incarnation).or_insert_with(new).counts
    }

    /// Merges received counts.
    pub fn merge(&mut self, of: CountScope<'_>, received: &BTreeMap<K, V>) {
        let known = match of {
            CountScope::Incarnation(incarnation, zone) => self.counts_mut(incarnation, zone),
            CountScope::Zone(zone) => self.zones.entry(zone.clone()).or_default(),
            CountScope::Others => &mut self.others,
        };
        merge_max(known, received);
    }

    /// Returns the counts of one incarnation.
    pub fn of(&self, incarnation: Incarnation) -> BTreeMap<K, V> {
        let known = self.incarnations.get(&incarnation);
        known.map_or_else(BTreeMap::new, |known| known.counts.clone())
    }

    /// Returns the counts of all nodes of a zone, except one incarnation if it is given.
    pub fn of_zone(&self, zone: &ZoneName, except: Option<Incarnation>) -> BTreeMap<K, V> {
        let mut sum = BTreeMap::new();
        // A relay's sum of the zone includes the excluded incarnation, so it can't be used then.
        let mut zone_sum = self.zones.get(zone);
        for (incarnation, known) in &self.incarnations {
            if known.zone != *zone {
                continue;
            }
            if Some(*incarnation) == except {
                zone_sum = None;
                continue;
            }
            add(&mut sum, &known.counts);
        }
        if let Some(zone_sum) = zone_sum {
            merge_max(&mut sum, zone_sum);
        }
        sum
    }

    /// Returns the counts of the nodes of all zones, except one incarnation if it is given.
    pub fn of_all(&self, except: Option<Incarnation>) -> BTreeMap<K, V> {
        let of_incarnations = self.incarnations.values().map(|known| &known.zone);
        let zones: BTreeSet<&ZoneName> = of_incarnations.chain(self.zones.keys()).collect();
        let mut sum = BTreeMap::new();
        for zone in zones {
            add(&mut sum, &self.of_zone(zone, except));
        }
        sum
    }

    /// Returns the counts of all nodes; `own` is the incarnation of this one.
    pub fn total(&self, own: Incarnation) -> BTreeMap<K, V> {
        let mut total = self.of_all(None);
        let mut by_relay = self.others.clone();
        if let Some(own) = self.incarnations.get(&own) {
            add(&mut by_relay, &own.counts);
        }
        merge_max(&mut total, &by_relay);
        total
    }
}

fn add<K: Ord + Clone, V: Count>(sum: &mut BTreeMap<K, V>, counts: &BTreeMap<K, V>) {
    for (key, count) in counts {
        let known = sum.entry(key.clone()).or_default();
        *known = known.plus(*count);
    }
}

fn merge_max<K: Ord + Clone, V: Count>(known: &mut BTreeMap<K, V>, received: &BTreeMap<K, V>) {
    for (key, count) in received {
        let known = known.entry(key.clone()).or_default();
        *known = known.greater(*count);
    }
}
