//! Membership by gossip: heartbeats within an availability zone, summaries between zones by relays.
//!
//! Each node writes only its own record. (incarnation, sequence) orders the states of a record and
//! the highest wins, so duplicates, cycles and reordering are harmless. Within a domain (an
//! availability zone, or all nodes while there are few) members gossip heartbeats. Between domains
//! relays exchange only summaries and changed records, so that the cost of heartbeats does not grow
//! with the number of zones.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bulrushhall_core::{Incarnation, Stamp, ZoneName};
use rand::{
    Rng, RngExt,
    seq::{IndexedRandom, IteratorRandom},
};

use crate::{
    gossip::{Condition, Gossip, Heartbeat, Record, ZoneSummary},
    membership_options::MembershipOptions,
    roster::{Roster, SenderVersion},
};

/// The consecutive messages with a differing summary of a zone after which its versions are
/// compared.
const MAX_SUMMARY_MISMATCHES: u32 = 3;
/// The upper bound of the records in the messages of one round.
const MAX_RECORDS_PER_ROUND: usize = 32;

/// An `Outgoing` message is to be sent to another node.
#[derive(Clone, Debug)]
pub struct Outgoing<V> {
    /// The incarnation that receives it.
    pub to: Incarnation,
    /// The content.
    pub gossip: Gossip<V>,
}

/// A `View` is what this node knows about another incarnation.
#[derive(Clone, Copy, Debug)]
pub struct View<'a, V> {
    /// Its record.
    pub record: &'a Record<V>,
    /// Whether its heartbeats have been missing for longer than the suspicion timeout.
    pub suspected: bool,
}

/// A `Membership` is the membership state machine of one node.
#[derive(Debug)]
pub struct Membership<V> {
    options: MembershipOptions,
    roster: Roster<V>,
    /// The changed records that are still to be sent within the domain, with the rounds that sent
    /// them.
    pending: BTreeMap<Incarnation, u32>,
    /// The changed records that are still to be sent to other domains.
    remote_pending: BTreeSet<Incarnation>,
    next_remote_round: Stamp,
    /// The consecutive messages with a differing summary of each zone.
    summary_mismatches: BTreeMap<ZoneName, u32>,
    rounds: u64,
    next_round: Stamp,
}

impl<V: Clone + PartialEq> Membership<V> {
    /// Returns the membership of a node that knows only itself.
    pub fn new(now: Stamp, own: Record<V>, options: MembershipOptions) -> Membership<V> {
        let pending = BTreeMap::from([(own.incarnation, 0)]);
        let roster = Roster::new(now, own, options.clone());
        Membership {
            options,
            roster,
            pending,
            remote_pending: BTreeSet::new(),
            next_remote_round: now,
            summary_mismatches: BTreeMap::new(),
            rounds: 0,
            next_round: now,
        }
    }

    /// Returns this node's record.
    pub fn own(&self) -> &Record<V> {
        &self.roster.known[&self.roster.own].record
    }

    /// Returns the other incarnations that are considered alive, suspected ones included.
    pub fn members(&self) -> impl Iterator<Item = View<'_, V>> {
        let others = self.roster.known.values().filter(|known| {
            known.record.incarnation != self.roster.own && self.roster.is_live(known)
        });
        others
            .map(|known| View { record: &known.record, suspected: self.roster.is_suspected(known) })
    }

    /// Returns the record of a known incarnation, whether it is considered alive or not.
    pub fn record(&self, incarnation: Incarnation) -> Option<&Record<V>> {
        self.roster.known.get(&incarnation).map(|known| &known.record)
    }

    /// Returns when the next round is due.
    pub fn next_round(&self) -> Stamp {
        self.next_round
    }

    /// Returns the time between two rounds.
    pub fn period(&self) -> Duration {
        self.roster.period()
    }

    /// Returns the number of records that are kept, tombstones included.
    pub fn record_count(&self) -> usize {
        self.roster.known.len()
    }

    /// Changes this node's own value; the next rounds gossip the change.
    pub fn set_value(&mut self, value: V) {
        if self.own().value == value {
            return;
        }
        self.update_own(|record| record.value = value);
    }

    /// Marks this node as leaving for the rest of its incarnation and advertises that at once.
    pub fn leave(&mut self, random: &mut dyn Rng) -> Vec<Outgoing<V>> {
        if self.own().condition != Condition::Alive {
            return Vec::new();
        }
        self.update_own(|record| record.condition = Condition::Leaving);
        let own = self.own().clone();
        self.send_urgent(vec![own], random)
    }

    /// Advances the time; returns the messages of the round if one is due.
    pub fn tick(&mut self, now: Stamp, random: &mut dyn Rng) -> Vec<Outgoing<V>> {
        if now < self.next_round {
            return Vec::new();
        }
        self.roster.refresh(now);
        // Rounds of nodes that started together would come in bursts; jitter spreads them out.
        self.next_round = now + self.period().mul_f64(random.random_range(0.9..1.1));
        self.rounds += 1;
        let own = self.roster.own;
        if let Some(known) = self.roster.known.get_mut(&own) {
            known.record_round(self.rounds, now);
        }
        for removed in self.roster.remove_silent() {
            self.pending.insert(removed, 0);
        }
        self.run_round(random)
    }

    /// Handles a message of another incarnation; returns the messages that follow from it.
    pub fn receive(
        &mut self,
        now: Stamp,
        from: Incarnation,
        gossip: Gossip<V>,
        random: &mut dyn Rng,
    ) -> Vec<Outgoing<V>> {
        self.roster.now = self.roster.now.max(now);
        let mut reply = Gossip::default();
        let mut urgent = Vec::new();
        // The reply to a joining node holds all records. The other nodes know them already:
        // gossiping them again would fill many rounds and delay updates.
        let is_bulk = MAX_RECORDS_PER_ROUND < gossip.records.len();
        for record in gossip.records {
            let is_leaving = record.condition == Condition::Leaving;
            if self.apply_record(record.clone()) {
                if is_bulk {
                    self.pending.remove(&record.incarnation);
                }
                urgent.extend(is_leaving.then_some(record));
            } else if record.condition != Condition::Dead {
                // A node that still considers an incarnation alive that was removed here receives
                // the tombstone, so that it reaches the author, which can then refute it.
                reply.records.extend(self.roster.tombstone(record.incarnation).cloned());
            }
        }
        for heartbeat in gossip.beats {
            self.apply_heartbeat(heartbeat, &mut reply);
        }
        for incarnation in gossip.want {
            reply.records.extend(self.record(incarnation).cloned());
        }
        for summary in gossip.zones {
            self.apply_summary(from, summary, &mut reply);
        }
        for zone in gossip.lists {
            reply.beats.extend(self.roster.versions_of(&zone));
        }
        if gossip.joins {
            reply.records.extend(self.members().map(|view| view.record.clone()));
            reply.records.push(self.own().clone());
        }
        let mut sends = self.send_urgent(urgent, random);
        if !reply.is_empty() {
            sends.push(Outgoing { to: from, gossip: reply });
        }
        sends
    }

    /// Returns the message that a joining node sends to the addresses it was configured with.
    pub fn join_message(&self) -> Gossip<V> {
        let records = vec![self.own().clone()];
        Gossip { records, joins: true, ..Gossip::default() }
    }

    fn update_own(&mut self, change: impl FnOnce(&mut Record<V>)) {
        let own = self.roster.own;
        let Some(known) = self.roster.known.get_mut(&own) else { return };
        change(&mut known.record);
        known.record.sequence += 1;
        self.roster.invalidate_hash(own);
        self.pending.insert(own, 0);
    }

    // Returns whether the record was an update.
    fn apply_record(&mut self, record: Record<V>) -> bool {
        let incarnation = record.incarnation;
        if incarnation == self.roster.own {
            self.refute(&record);
            return false;
        }
        let is_new = self.roster.apply_record(record);
        if is_new {
            self.pending.insert(incarnation, 0);
        }
        is_new
    }

    // Other nodes may have removed this node, for example while it was paused. A higher sequence
    // number refutes that. The content of its record stays as it was, above all the leaving
    // condition.
    fn refute(&mut self, received: &Record<V>) {
        if received.rank() <= self.own().rank() {
            return;
        }
        let sequence = received.sequence;
        self.update_own(|record| record.sequence = record.sequence.max(sequence));
    }

    fn apply_heartbeat(&mut self, heartbeat: Heartbeat, reply: &mut Gossip<V>) {
        if heartbeat.incarnation == self.roster.own {
            if heartbeat.sequence < self.own().sequence {
                reply.records.push(self.own().clone());
            }
            return;
        }
        match self.roster.apply_heartbeat(heartbeat) {
            SenderVersion::Same => {}
            SenderVersion::Ahead => reply.want.push(heartbeat.incarnation),
            SenderVersion::Behind => {
                reply.records.extend(self.record(heartbeat.incarnation).cloned())
            }
        }
    }

    fn apply_summary(&mut self, from: Incarnation, summary: ZoneSummary, reply: &mut Gossip<V>) {
        self.roster.apply_summary(from, &summary);
        let mismatches = self.summary_mismatches.entry(summary.zone.clone()).or_default();
        if summary.hash == self.roster.hash_of(&summary.zone) {
            *mismatches = 0;
            return;
        }
        // Updates in flight make summaries differ for a moment. Versions are listed only if the
        // difference lasts, after a lost message or a healed partition.
        *mismatches += 1;
        if *mismatches < MAX_SUMMARY_MISMATCHES {
            return;
        }
        *mismatches = 0;
        reply.beats.extend(self.roster.versions_of(&summary.zone));
        reply.lists.push(summary.zone);
    }

    fn run_round(&mut self, random: &mut dyn Rng) -> Vec<Outgoing<V>> {
        let zone = self.own().zone.clone();
        let records = self.take_pending();
        let own_summary = self.own_summary();
        let mut zones: Vec<ZoneSummary> = own_summary.iter().cloned().collect();
        for remote_zone in self.roster.remote_zones() {
            zones.push(self.roster.summary_of(&remote_zone));
        }
        let gossip = Gossip {
            records: records.clone(),
            beats: self.roster.heartbeats(),
            zones,
            ..Gossip::default()
        };
        let mut sends = Vec::new();
        for to in self.roster.domain().sample(random, self.options.fanout) {
            sends.push(Outgoing { to: *to, gossip: gossip.clone() });
        }
        self.remote_pending.extend(records.into_iter().map(|record| record.incarnation));
        let is_remote_round_due = self.next_remote_round <= self.roster.now;
        if !is_remote_round_due || self.roster.is_flat() {
            return sends;
        }
        self.next_remote_round =
            self.roster.now + self.roster.remote_period().mul_f64(random.random_range(0.9..1.1));
        let records = self.take_remote_pending();
        if !self.roster.relays_of(&zone).contains(&self.roster.own) {
            return sends;
        }
        let zones = own_summary.into_iter().collect();
        let gossip = Gossip { records, zones, ..Gossip::default() };
        for to in self.remote_relays(random) {
            sends.push(Outgoing { to, gossip: gossip.clone() });
        }
        sends
    }

    fn own_summary(&mut self) -> Option<ZoneSummary> {
        if self.options.always_flat() {
            return None;
        }
        let zone = self.own().zone.clone();
        Some(self.roster.summary_of(&zone))
    }

    // An update reaches all members of the domain within a few rounds, so it is sent no longer than
    // that.
    fn take_pending(&mut self) -> Vec<Record<V>> {
        let mut records = Vec::new();
        for (incarnation, times_sent) in &mut self.pending {
            if records.len() == MAX_RECORDS_PER_ROUND {
                break;
            }
            *times_sent += 1;
            let known = self.roster.known.get(incarnation);
            records.extend(known.map(|known| known.record.clone()));
        }
        let update_rounds = self.options.update_rounds;
        self.pending.retain(|_, times_sent| *times_sent < update_rounds);
        records
    }

    // Only records of the own domain are sent to other domains: each domain advertises its own.
    fn take_remote_pending(&mut self) -> Vec<Record<V>> {
        let pending = std::mem::take(&mut self.remote_pending);
        let zone = &self.own().zone;
        let records = pending.iter().filter_map(|incarnation| self.record(*incarnation));
        records.filter(|record| record.zone == *zone).take(MAX_RECORDS_PER_ROUND).cloned().collect()
    }

    fn send_urgent(&self, urgent: Vec<Record<V>>, random: &mut dyn Rng) -> Vec<Outgoing<V>> {
        if urgent.is_empty() {
            return Vec::new();
        }
        let gossip = Gossip { records: urgent, ..Gossip::default() };
        let members = self.roster.domain();
        let mut to: BTreeSet<Incarnation> =
            members.sample(random, self.options.urgent_fanout).copied().collect();
        if !self.roster.is_flat() {
            let relays = self.roster.relays_of(&self.own().zone);
            if relays.contains(&self.roster.own) {
                to.extend(self.remote_relays(random));
            }
            to.extend(relays);
            to.remove(&self.roster.own);
        }
        to.into_iter().map(|to| Outgoing { to, gossip: gossip.clone() }).collect()
    }

    // Returns one relay of each remote zone, or any member of a zone whose members are all
    // suspected: otherwise that zone would stay unreachable after a partition between regions has
    // healed.
    fn remote_relays(&self, random: &mut dyn Rng) -> Vec<Incarnation> {
        let mut recipients = Vec::new();
        for zone in self.roster.remote_zones() {
            let relays = self.roster.relays_of(&zone);
            let candidates =
                if relays.is_empty() { self.roster.live_in_zone(&zone) } else { relays };
            recipients.extend(candidates.into_iter().choose(random));
        }
        recipients
    }
}
