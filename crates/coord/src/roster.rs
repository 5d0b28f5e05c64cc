//! The records of all members that one node knows, and when a heartbeat of each was last received.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Incarnation, NodeName, Stamp, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    gossip::{Condition, Heartbeat, Record, ZoneSummary},
    membership_options::MembershipOptions,
};

/// A `KnownMember` is the last known state of one incarnation of a node.
#[derive(Clone, Debug)]
pub(crate) struct KnownMember<V> {
    pub(crate) record: Record<V>,
    pub(crate) beat: u64,
    last_received: Stamp,
    removed_at: Option<Stamp>,
}

/// A `ZoneState` is the last known state of one availability zone.
#[derive(Clone, Copy, Debug)]
struct ZoneState {
    beat: u64,
    last_received: Stamp,
    live_members: usize,
    /// The hash of the versions of the zone's records; none once one of them has changed.
    hash: Option<u32>,
}

/// A `SenderVersion` compares the record that the sender of a heartbeat has with the one held here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SenderVersion {
    /// The sender has the same record.
    Same,
    /// The sender has a newer record.
    Ahead,
    /// The sender has an older record, or considers an incarnation alive that was removed here.
    Behind,
}

/// A `Roster` holds the records of all members that one node knows, its own included.
#[derive(Debug)]
pub(crate) struct Roster<V> {
    options: MembershipOptions,
    pub(crate) own: Incarnation,
    pub(crate) known: BTreeMap<Incarnation, KnownMember<V>>,
    /// The latest known incarnation of each node.
    newest: BTreeMap<NodeName, Incarnation>,
    zones: BTreeMap<ZoneName, ZoneState>,
    pub(crate) now: Stamp,
    is_flat: bool,
    period: Duration,
}

impl<V: Clone> Roster<V> {
    pub(crate) fn new(now: Stamp, own: Record<V>, options: MembershipOptions) -> Roster<V> {
        let incarnation = own.incarnation;
        let zone = ZoneState { beat: 0, last_received: now, live_members: 1, hash: None };
        let mut roster = Roster {
            own: incarnation,
            newest: BTreeMap::from([(own.node.clone(), incarnation)]),
            zones: BTreeMap::from([(own.zone.clone(), zone)]),
            known: BTreeMap::new(),
            now,
            is_flat: true,
            period: options.period(1),
            options,
        };
        let known = KnownMember { record: own, beat: 0, last_received: now, removed_at: None };
        roster.known.insert(incarnation, known);
        roster
    }

    pub(crate) fn period(&self) -> Duration {
        self.period
    }

    pub(crate) fn remote_period(&self) -> Duration {
        self.options.remote_period(self.zones.len())
    }

    pub(crate) fn is_flat(&self) -> bool {
        self.is_flat
    }

    /// Advances the time and updates the size of the domain and with it the period.
    pub(crate) fn refresh(&mut self, now: Stamp) {
        self.discount_pause(now);
        self.now = now;
        for zone in self.zones.values_mut() {
            zone.live_members = 0;
        }
        let mut live = 0;
        for known in self.known.values().filter(|known| known.removed_at.is_none()) {
            live += 1;
            if let Some(zone) = self.zones.get_mut(&known.record.zone) {
                zone.live_members += 1;
            }
        }
        let own_zone = &self.known[&self.own].record.zone;
        let is_flat = live <= self.options.max_flat_nodes;
        let domain_size = if is_flat { live } else { self.zones[own_zone].live_members };
        self.period = self.options.period(domain_size);
        if is_flat == self.is_flat {
            return;
        }
        // Members that were tracked by heartbeats may now be tracked by summaries and the other way
        // round, so all of them count as just received.
        self.is_flat = is_flat;
        self.known.values_mut().for_each(|known| known.last_received = now);
        self.zones.values_mut().for_each(|zone| zone.last_received = now);
    }

    // A node that was paused has received nothing during the pause. It must not consider the others
    // dead, so the duration of the pause is not counted as their silence.
    fn discount_pause(&mut self, now: Stamp) {
        let gap = now.since(self.now);
        if gap <= self.period.saturating_mul(3) {
            return;
        }
        self.known.values_mut().for_each(|known| known.last_received = known.last_received + gap);
        self.zones.values_mut().for_each(|zone| zone.last_received = zone.last_received + gap);
    }

    /// Returns whether members of a zone are tracked by their own heartbeats.
    pub(crate) fn is_in_domain(&self, zone: &ZoneName) -> bool {
        self.is_flat || *zone == self.known[&self.own].record.zone
    }

    pub(crate) fn is_suspected(&self, known: &KnownMember<V>) -> bool {
        self.is_silent_for(known, self.options.suspect_rounds)
    }

    pub(crate) fn is_live(&self, known: &KnownMember<V>) -> bool {
        if known.removed_at.is_some() {
            return false;
        }
        self.is_in_domain(&known.record.zone)
            || !self.is_silent_for(known, self.options.dead_rounds)
    }

    // Relays of a remote zone send one message per remote period; its content then takes rounds of
    // this zone to arrive here.
    fn is_silent_for(&self, known: &KnownMember<V>, rounds: u32) -> bool {
        if known.record.incarnation == self.own {
            return false;
        }
        if self.is_in_domain(&known.record.zone) {
            return self.period.saturating_mul(rounds) < self.now.since(known.last_received);
        }
        let Some(zone) = self.zones.get(&known.record.zone) else { return false };
        let round = self.period + self.remote_period();
        round.saturating_mul(rounds) < self.now.since(zone.last_received)
    }

    /// Removes members of the domain that have been silent for too long; returns them.
    ///
    /// A member is removed only by its own domain; other domains receive that in its record.
    pub(crate) fn remove_silent(&mut self) -> Vec<Incarnation> {
        let mut silent = Vec::new();
        for (incarnation, known) in &self.known {
            let is_tracked = known.removed_at.is_none() && self.is_in_domain(&known.record.zone);
            if is_tracked && self.is_silent_for(known, self.options.dead_rounds) {
                silent.push(*incarnation);
            }
        }
        for incarnation in &silent {
            self.remove(*incarnation);
        }
        let (now, retention) = (self.now, self.options.tombstone_retention);
        self.known.retain(|_, known| known.removed_at.is_none_or(|at| now.since(at) < retention));
        let known = &self.known;
        self.newest.retain(|_, incarnation| known.contains_key(incarnation));
        silent
    }

    fn remove(&mut self, incarnation: Incarnation) {
        let now = self.now;
        let Some(known) = self.known.get_mut(&incarnation) else { return };
        known.removed_at = Some(now);
        known.record.condition = Condition::Dead;
        self.invalidate_hash(incarnation);
    }

    /// Invalidates the hash of the zone of an incarnation whose record has changed.
    pub(crate) fn invalidate_hash(&mut self, incarnation: Incarnation) {
        let Some(known) = self.known.get(&incarnation) else { return };
        if let Some(zone) = self.zones.get_mut(&known.record.zone) {
            zone.hash = None;
        }
    }

    /// Returns the record of an incarnation that was removed.
    pub(crate) fn tombstone(&self, incarnation: Incarnation) -> Option<&Record<V>> {
        let known = self.known.get(&incarnation)?;
        known.removed_at.map(|_| &known.record)
    }

    /// Applies the record of another incarnation; returns whether it was an update.
    pub(crate) fn apply_record(&mut self, record: Record<V>) -> bool {
        let incarnation = record.incarnation;
        let newest = self.newest.get(&record.node).copied().unwrap_or_default();
        let is_dead = record.condition == Condition::Dead;
        if incarnation < newest || (is_dead && !self.known.contains_key(&incarnation)) {
            return false;
        }
        let earlier = self.known.get(&incarnation);
        if earlier.is_some_and(|known| record.rank() <= known.record.rank()) {
            return false;
        }
        let earlier = earlier.filter(|known| known.removed_at.is_none());
        let (beat, last_received) =
            earlier.map_or((0, self.now), |known| (known.beat, known.last_received));
        if newest < incarnation {
            // A later incarnation of a node replaces the earlier one.
            self.newest.insert(record.node.clone(), incarnation);
            self.remove(newest);
        }
        let new = ZoneState { beat: 0, last_received: self.now, live_members: 1, hash: None };
        self.zones.entry(record.zone.clone()).or_insert(new);
        let removed_at = is_dead.then_some(self.now);
        self.known.insert(incarnation, KnownMember { record, beat, last_received, removed_at });
        self.invalidate_hash(incarnation);
        true
    }

    /// Applies the heartbeat of another incarnation; returns how the sender's record compares.
    pub(crate) fn apply_heartbeat(&mut self, heartbeat: Heartbeat) -> SenderVersion {
        let now = self.now;
        let Some(known) = self.known.get_mut(&heartbeat.incarnation) else {
            return SenderVersion::Ahead;
        };
        if known.beat < heartbeat.beat {
            known.beat = heartbeat.beat;
            known.last_received = now;
        }
        if known.record.sequence < heartbeat.sequence {
            return SenderVersion::Ahead;
        }
        let is_behind = heartbeat.sequence < known.record.sequence || known.removed_at.is_some();
        if is_behind { SenderVersion::Behind } else { SenderVersion::Same }
    }

    /// Applies the summary of a zone, received from one of its own nodes or from another one.
    pub(crate) fn apply_summary(&mut self, from: Incarnation, summary: &ZoneSummary) {
        let now = self.now;
        let from_zone = self.known.get(&from).map(|known| &known.record.zone);
        let is_direct = from_zone == Some(&summary.zone);
        let new = ZoneState { beat: 0, last_received: now, live_members: 1, hash: None };
        let zone = self.zones.entry(summary.zone.clone()).or_insert(new);
        if is_direct || zone.beat < summary.beat {
            zone.last_received = now;
        }
        let beat = if is_direct { zone.beat + 1 } else { zone.beat };
        zone.beat = beat.max(summary.beat);
    }

    /// Returns the other members of the domain.
    pub(crate) fn domain(&self) -> Vec<Incarnation> {
        let members = self.known.values().filter(|known| {
            known.removed_at.is_none()
                && known.record.incarnation != self.own
                && self.is_in_domain(&known.record.zone)
        });
        members.map(|known| known.record.incarnation).collect()
    }

    /// Returns the relays of a zone: the first by hash that are not suspected.
    ///
    /// All nodes agree on them without exchanging messages. While their views differ there are more
    /// or fewer relays for a moment, which only costs messages.
    pub(crate) fn relays_of(&self, zone: &ZoneName) -> Vec<Incarnation> {
        let mut ranked = Vec::new();
        for (incarnation, known) in &self.known {
            let is_excluded = known.record.zone != *zone || known.removed_at.is_some();
            if is_excluded || self.is_suspected(known) {
                continue;
            }
            ranked.push((xxh3_64(&incarnation.0.to_le_bytes()), *incarnation));
        }
        ranked.sort();
        ranked
            .into_iter()
            .take(self.options.relays_per_zone)
            .map(|(_, incarnation)| incarnation)
            .collect()
    }

    /// Returns all incarnations of a zone that have not been removed.
    pub(crate) fn live_in_zone(&self, zone: &ZoneName) -> Vec<Incarnation> {
        let known = self.known.values();
        let known = known.filter(|known| known.record.zone == *zone && known.removed_at.is_none());
        known.map(|known| known.record.incarnation).collect()
    }

    pub(crate) fn remote_zones(&self) -> Vec<ZoneName> {
        self.zones.keys().filter(|zone| !self.is_in_domain(zone)).cloned().collect()
    }

    /// Returns the heartbeats of the domain.
    pub(crate) fn heartbeats(&self) -> Vec<Heartbeat> {
        let members = self.known.values();
        let members = members
            .filter(|known| known.removed_at.is_none() && self.is_in_domain(&known.record.zone));
        members.map(|known| known.version(known.beat)).collect()
    }

    /// Returns the versions of a zone's records.
    pub(crate) fn versions_of(&self, zone: &ZoneName) -> Vec<Heartbeat> {
        let known = self.known.values();
        let known = known.filter(|known| known.record.zone == *zone && known.removed_at.is_none());
        known.map(|known| known.version(0)).collect()
    }

    pub(crate) fn summary_of(&mut self, zone: &ZoneName) -> ZoneSummary {
        let hash = self.hash_of(zone);
        let beat = self.zones.get(zone).map_or(0, |state| state.beat);
        ZoneSummary { zone: zone.clone(), beat, hash }
    }

    /// Returns the hash of the versions of a zone's records; it is cached until one of them
    /// changes.
    pub(crate) fn hash_of(&mut self, zone: &ZoneName) -> u32 {
        if let Some(hash) = self.zones.get(zone).and_then(|state| state.hash) {
            return hash;
        }
        let hash = self.compute_hash(zone);
        if let Some(state) = self.zones.get_mut(zone) {
            state.hash = Some(hash);
        }
        hash
    }

    fn compute_hash(&self, zone: &ZoneName) -> u32 {
        let mut buf = Vec::new();
        for known in self.known.values() {
            if known.record.zone != *zone || known.removed_at.is_some() {
                continue;
            }
            buf.extend(known.record.incarnation.0.to_le_bytes());
            buf.extend(known.record.sequence.to_le_bytes());
        }
        (xxh3_64(&buf) >> 32) as u32
    }
}

impl<V> KnownMember<V> {
    fn version(&self, beat: u64) -> Heartbeat {
        let Record { incarnation, sequence, .. } = self.record;
        Heartbeat { incarnation, sequence, beat }
    }

    /// Records a round of this node itself.
    pub(crate) fn record_round(&mut self, beat: u64, now: Stamp) {
        (self.beat, self.last_received) = (beat, now);
    }
}
