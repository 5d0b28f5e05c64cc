//! The records of all members that one node knows, and when each was last heard of.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Incarnation, NodeName, Stamp, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    gossip::{Beat, Condition, Record, ZoneSummary},
    membership_options::MembershipOptions,
};

/// A `Known` is one life of a node as it was last heard of.
#[derive(Clone, Debug)]
pub(crate) struct Known<V> {
    pub(crate) record: Record<V>,
    pub(crate) beat: u64,
    heard: Stamp,
    removed: Option<Stamp>,
}

#[derive(Clone, Copy, Debug)]
struct Zone {
    beat: u64,
    heard: Stamp,
    members: usize,
    hash: Option<u32>,
}

/// A `BeatNews` tells what a heartbeat shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BeatNews {
    /// The record is as new as the one held.
    Same,
    /// The other side has a newer record.
    Ahead,
    /// The other side has an older record, or believes in a life that was removed.
    Behind,
}

/// A `Roster` holds the records of all members that one node knows, its own included.
#[derive(Debug)]
pub(crate) struct Roster<V> {
    options: MembershipOptions,
    pub(crate) own: Incarnation,
    pub(crate) known: BTreeMap<Incarnation, Known<V>>,
    newest: BTreeMap<NodeName, Incarnation>,
    zones: BTreeMap<ZoneName, Zone>,
    pub(crate) now: Stamp,
    flat: bool,
    period: Duration,
}

impl<V: Clone> Roster<V> {
    pub(crate) fn new(now: Stamp, own: Record<V>, options: MembershipOptions) -> Roster<V> {
        let incarnation = own.incarnation;
        let zone = Zone { beat: 0, heard: now, members: 1, hash: None };
        let mut roster = Roster {
            own: incarnation,
            newest: BTreeMap::from([(own.node.clone(), incarnation)]),
            zones: BTreeMap::from([(own.zone.clone(), zone)]),
            known: BTreeMap::new(),
            now,
            flat: true,
            period: options.period(1),
            options,
        };
        let known = Known { record: own, beat: 0, heard: now, removed: None };
        roster.known.insert(incarnation, known);
        roster
    }

    pub(crate) fn period(&self) -> Duration {
        self.period
    }

    pub(crate) fn far_period(&self) -> Duration {
        self.options.far_period(self.zones.len())
    }

    pub(crate) fn is_flat(&self) -> bool {
        self.flat
    }

    /// Lets time pass and sees anew how large the domains are.
    pub(crate) fn refresh(&mut self, now: Stamp) {
        self.forgive_pause(now);
        self.now = now;
        for zone in self.zones.values_mut() {
            zone.members = 0;
        }
        let mut alive = 0;
        for known in self.known.values().filter(|known| known.removed.is_none()) {
            alive += 1;
            if let Some(zone) = self.zones.get_mut(&known.record.zone) {
                zone.members += 1;
            }
        }
        let own_zone = &self.known[&self.own].record.zone;
        let flat = alive <= self.options.max_flat_nodes;
        let domain = if flat { alive } else { self.zones[own_zone].members };
        self.period = self.options.period(domain);
        if flat == self.flat {
            return;
        }
        // Heartbeats and summaries were not watched alike in both shapes: each starts afresh.
        self.flat = flat;
        self.known.values_mut().for_each(|known| known.heard = now);
        self.zones.values_mut().for_each(|zone| zone.heard = now);
    }

    // A node that was paused hears nothing meanwhile. It must not take the others for dead, so
    // the time that passed unnoticed is not counted.
    fn forgive_pause(&mut self, now: Stamp) {
        let gap = now.since(self.now);
        if gap <= self.period.saturating_mul(3) {
            return;
        }
        self.known.values_mut().for_each(|known| known.heard = known.heard + gap);
        self.zones.values_mut().for_each(|zone| zone.heard = zone.heard + gap);
    }

    /// Returns whether members of a zone are watched by their own heartbeats.
    pub(crate) fn near(&self, zone: &ZoneName) -> bool {
        self.flat || *zone == self.known[&self.own].record.zone
    }

    pub(crate) fn suspected(&self, known: &Known<V>) -> bool {
        self.silent_for(known, self.options.suspect_rounds)
    }

    pub(crate) fn believed(&self, known: &Known<V>) -> bool {
        if known.removed.is_some() {
            return false;
        }
        self.near(&known.record.zone) || !self.silent_for(known, self.options.dead_rounds)
    }

    // A far zone's relays speak once in a far period; what they say then takes rounds of this
    // zone to get here.
    fn silent_for(&self, known: &Known<V>, rounds: u32) -> bool {
        if known.record.incarnation == self.own {
            return false;
        }
        if self.near(&known.record.zone) {
            return self.period.saturating_mul(rounds) < self.now.since(known.heard);
        }
        let Some(zone) = self.zones.get(&known.record.zone) else { return false };
        let round = self.period + self.far_period();
        round.saturating_mul(rounds) < self.now.since(zone.heard)
    }

    /// Removes near members that were silent for too long; returns them.
    ///
    /// Only a member's own domain removes it; others are told so in its record.
    pub(crate) fn remove_silent(&mut self) -> Vec<Incarnation> {
        let mut silent = Vec::new();
        for (incarnation, known) in &self.known {
            let watched = known.removed.is_none() && self.near(&known.record.zone);
            if watched && self.silent_for(known, self.options.dead_rounds) {
                silent.push(*incarnation);
            }
        }
        for incarnation in &silent {
            self.remove(*incarnation);
        }
        let (now, forget) = (self.now, self.options.forget);
        self.known.retain(|_, known| known.removed.is_none_or(|at| now.since(at) < forget));
        let known = &self.known;
        self.newest.retain(|_, incarnation| known.contains_key(incarnation));
        silent
    }

    fn remove(&mut self, incarnation: Incarnation) {
        let now = self.now;
        let Some(known) = self.known.get_mut(&incarnation) else { return };
        known.removed = Some(now);
        known.record.condition = Condition::Gone;
        self.forget_hash(incarnation);
    }

    /// Notes that the record of a life has changed.
    pub(crate) fn forget_hash(&mut self, incarnation: Incarnation) {
        let Some(known) = self.known.get(&incarnation) else { return };
        if let Some(zone) = self.zones.get_mut(&known.record.zone) {
            zone.hash = None;
        }
    }

    /// Returns the record of a life that was removed.
    pub(crate) fn removed(&self, incarnation: Incarnation) -> Option<&Record<V>> {
        let known = self.known.get(&incarnation)?;
        known.removed.map(|_| &known.record)
    }

    /// Takes another life's record; returns whether it was news.
    pub(crate) fn take(&mut self, record: Record<V>) -> bool {
        let incarnation = record.incarnation;
        let newest = self.newest.get(&record.node).copied().unwrap_or_default();
        let gone = record.condition == Condition::Gone;
        if incarnation < newest || (gone && !self.known.contains_key(&incarnation)) {
            return false;
        }
        let earlier = self.known.get(&incarnation);
        if earlier.is_some_and(|known| record.rank() <= known.record.rank()) {
            return false;
        }
        let earlier = earlier.filter(|known| known.removed.is_none());
        let (beat, heard) = earlier.map_or((0, self.now), |known| (known.beat, known.heard));
        if newest < incarnation {
            // A later life of a node ends the earlier one.
            self.newest.insert(record.node.clone(), incarnation);
            self.remove(newest);
        }
        let new = Zone { beat: 0, heard: self.now, members: 1, hash: None };
        self.zones.entry(record.zone.clone()).or_insert(new);
        let removed = gone.then_some(self.now);
        self.known.insert(incarnation, Known { record, beat, heard, removed });
        self.forget_hash(incarnation);
        true
    }

    /// Takes the heartbeat of a known life.
    pub(crate) fn take_beat(&mut self, beat: Beat) -> BeatNews {
        let now = self.now;
        let Some(known) = self.known.get_mut(&beat.incarnation) else { return BeatNews::Ahead };
        if known.beat < beat.beat {
            known.beat = beat.beat;
            known.heard = now;
        }
        if known.record.sequence < beat.sequence {
            return BeatNews::Ahead;
        }
        let behind = beat.sequence < known.record.sequence || known.removed.is_some();
        if behind { BeatNews::Behind } else { BeatNews::Same }
    }

    /// Takes a sign of life of a whole zone, from one of its own nodes or from others.
    pub(crate) fn take_summary(&mut self, from: Incarnation, summary: &ZoneSummary) {
        let now = self.now;
        let from_zone = self.known.get(&from).map(|known| &known.record.zone);
        let direct = from_zone == Some(&summary.zone);
        let new = Zone { beat: 0, heard: now, members: 1, hash: None };
        let zone = self.zones.entry(summary.zone.clone()).or_insert(new);
        if direct || zone.beat < summary.beat {
            zone.heard = now;
        }
        let told = if direct { zone.beat + 1 } else { zone.beat };
        zone.beat = told.max(summary.beat);
    }

    /// Returns the other members of the domain.
    pub(crate) fn domain(&self) -> Vec<Incarnation> {
        let near = self.known.values().filter(|known| {
            known.removed.is_none()
                && known.record.incarnation != self.own
                && self.near(&known.record.zone)
        });
        near.map(|known| known.record.incarnation).collect()
    }

    /// Returns the relays of a zone: the first by hash that are not suspected.
    ///
    /// All nodes agree on them without a word. While views differ there are more relays or fewer
    /// for a moment, which costs messages only.
    pub(crate) fn relays_of(&self, zone: &ZoneName) -> Vec<Incarnation> {
        let mut ranked = Vec::new();
        for (incarnation, known) in &self.known {
            let other = known.record.zone != *zone || known.removed.is_some();
            if other || self.suspected(known) {
                continue;
            }
            ranked.push((xxh3_64(&incarnation.0.to_le_bytes()), *incarnation));
        }
        ranked.sort();
        ranked.into_iter().take(self.options.relays).map(|(_, incarnation)| incarnation).collect()
    }

    /// Returns all lives of a zone that were not removed.
    pub(crate) fn of_zone(&self, zone: &ZoneName) -> Vec<Incarnation> {
        let known = self.known.values();
        let known = known.filter(|known| known.record.zone == *zone && known.removed.is_none());
        known.map(|known| known.record.incarnation).collect()
    }

    pub(crate) fn far_zones(&self) -> Vec<ZoneName> {
        self.zones.keys().filter(|zone| !self.near(zone)).cloned().collect()
    }

    /// Returns the heartbeats of the domain.
    pub(crate) fn beats(&self) -> Vec<Beat> {
        let near = self.known.values();
        let near = near.filter(|known| known.removed.is_none() && self.near(&known.record.zone));
        near.map(|known| known.version(known.beat)).collect()
    }

    /// Returns the versions of a zone's records.
    pub(crate) fn versions_of(&self, zone: &ZoneName) -> Vec<Beat> {
        let known = self.known.values();
        let known = known.filter(|known| known.record.zone == *zone && known.removed.is_none());
        known.map(|known| known.version(0)).collect()
    }

    pub(crate) fn summary_of(&mut self, zone: &ZoneName) -> ZoneSummary {
        let hash = self.hash_of(zone);
        let beat = self.zones.get(zone).map_or(0, |state| state.beat);
        ZoneSummary { zone: zone.clone(), beat, hash }
    }

    /// Returns a hash of the versions of a zone's records; it is kept until one changes.
    pub(crate) fn hash_of(&mut self, zone: &ZoneName) -> u32 {
        if let Some(hash) = self.zones.get(zone).and_then(|state| state.hash) {
            return hash;
        }
        let hash = self.hash_anew(zone);
        if let Some(state) = self.zones.get_mut(zone) {
            state.hash = Some(hash);
        }
        hash
    }

    fn hash_anew(&self, zone: &ZoneName) -> u32 {
        let mut buf = Vec::new();
        for known in self.known.values() {
            if known.record.zone != *zone || known.removed.is_some() {
                continue;
            }
            buf.extend(known.record.incarnation.0.to_le_bytes());
            buf.extend(known.record.sequence.to_le_bytes());
        }
        (xxh3_64(&buf) >> 32) as u32
    }
}

impl<V> Known<V> {
    fn version(&self, beat: u64) -> Beat {
        let Record { incarnation, sequence, .. } = self.record;
        Beat { incarnation, sequence, beat }
    }

    /// Notes a round of this very node.
    pub(crate) fn beat(&mut self, beat: u64, now: Stamp) {
        (self.beat, self.heard) = (beat, now);
    }
}
