//! Membership: heartbeats inside an availability zone, summaries between zones by relays.
//!
//! Each author alone writes its record; (incarnation, sequence) orders its states and the highest
//! wins, so repeats, cycles and reordering are harmless. Inside a domain (an availability zone,
//! or all nodes while they are few) members pass on heartbeats. Between domains relays pass on
//! summaries and changed records only, so that heartbeats don't cost more with every zone.

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
    gossip::{Beat, Condition, Gossip, Record, ZoneSummary},
    membership_options::MembershipOptions,
    roster::{BeatNews, Roster},
};

/// The messages in a row with another summary of a zone after which its versions are compared.
const DIFFERENCES: u32 = 3;
/// The most records that one round passes on.
const RECORDS_MAX: usize = 32;

/// A `Send` is a message that the machine wants sent.
#[derive(Clone, Debug)]
pub struct Outgoing<V> {
    /// The life that it is meant for.
    pub to: Incarnation,
    /// What it says.
    pub gossip: Gossip<V>,
}

/// A `View` is one other life as the machine sees it.
#[derive(Clone, Copy, Debug)]
pub struct View<'a, V> {
    /// Its record.
    pub record: &'a Record<V>,
    /// Whether its heartbeats have been missing for a while.
    pub suspected: bool,
}

/// A `Membership` is one node's knowledge of all others.
#[derive(Debug)]
pub struct Membership<V> {
    options: MembershipOptions,
    roster: Roster<V>,
    fresh: BTreeMap<Incarnation, u32>,
    far_fresh: BTreeSet<Incarnation>,
    next_far: Stamp,
    differences: BTreeMap<ZoneName, u32>,
    rounds: u64,
    next_round: Stamp,
}

impl<V: Clone + PartialEq> Membership<V> {
    /// Returns the knowledge of a node that knows of itself alone.
    pub fn new(now: Stamp, own: Record<V>, options: MembershipOptions) -> Membership<V> {
        let fresh = BTreeMap::from([(own.incarnation, 0)]);
        let roster = Roster::new(now, own, options.clone());
        Membership {
            options,
            roster,
            fresh,
            far_fresh: BTreeSet::new(),
            next_far: now,
            differences: BTreeMap::new(),
            rounds: 0,
            next_round: now,
        }
    }

    /// Returns this node's record.
    pub fn own(&self) -> &Record<V> {
        &self.roster.known[&self.roster.own].record
    }

    /// Returns the other lives that are believed to be alive, suspected ones included.
    pub fn members(&self) -> impl Iterator<Item = View<'_, V>> {
        let others = self.roster.known.values().filter(|known| {
            known.record.incarnation != self.roster.own && self.roster.believed(known)
        });
        others.map(|known| View { record: &known.record, suspected: self.roster.suspected(known) })
    }

    /// Returns one known life's record, whether it is believed to be alive or not.
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

    /// Returns the number of records that are held, removed ones included.
    pub fn record_count(&self) -> usize {
        self.roster.known.len()
    }

    /// Changes this node's own value; the change is passed on with the next rounds.
    pub fn set_value(&mut self, value: V) {
        if self.own().value == value {
            return;
        }
        self.change_own(|record| record.value = value);
    }

    /// Marks this node as leaving for the rest of its life and tells others at once.
    pub fn leave(&mut self, random: &mut dyn Rng) -> Vec<Outgoing<V>> {
        if self.own().condition != Condition::Alive {
            return Vec::new();
        }
        self.change_own(|record| record.condition = Condition::Leaving);
        let own = self.own().clone();
        self.tell_at_once(vec![own], random)
    }

    /// Lets time pass; returns the messages of the round that is due.
    pub fn tick(&mut self, now: Stamp, random: &mut dyn Rng) -> Vec<Outgoing<V>> {
        if now < self.next_round {
            return Vec::new();
        }
        self.roster.refresh(now);
        // Rounds of nodes that started together would come in bursts; jitter spreads them.
        self.next_round = now + self.period().mul_f64(random.random_range(0.9..1.1));
        self.rounds += 1;
        let own = self.roster.own;
        if let Some(known) = self.roster.known.get_mut(&own) {
            known.beat(self.rounds, now);
        }
        for removed in self.roster.remove_silent() {
            self.fresh.insert(removed, 0);
        }
        self.round(random)
    }

    /// Takes a message of another life; returns what is to be sent because of it.
    pub fn receive(
        &mut self,
        now: Stamp,
        from: Incarnation,
        gossip: Gossip<V>,
        random: &mut dyn Rng,
    ) -> Vec<Outgoing<V>> {
        self.roster.now = self.roster.now.max(now);
        let mut answer = Gossip::default();
        let mut urgent = Vec::new();
        // The answer to a node that joins holds everyone. Others know them already: to pass them
        // on again would fill many rounds and hold up what is new.
        let bulk = RECORDS_MAX < gossip.records.len();
        for record in gossip.records {
            let leaving = record.condition == Condition::Leaving;
            if self.take(record.clone()) {
                if bulk {
                    self.fresh.remove(&record.incarnation);
                }
                urgent.extend(leaving.then_some(record));
            } else if record.condition != Condition::Gone {
                // Whoever still believes in a life that was removed here has to be told, so that
                // the author hears of it and can correct it.
                answer.records.extend(self.roster.removed(record.incarnation).cloned());
            }
        }
        for beat in gossip.beats {
            self.take_beat(beat, &mut answer);
        }
        for incarnation in gossip.want {
            answer.records.extend(self.record(incarnation).cloned());
        }
        for summary in gossip.zones {
            self.take_summary(from, summary, &mut answer);
        }
        for zone in gossip.lists {
            answer.beats.extend(self.roster.versions_of(&zone));
        }
        if gossip.joins {
            answer.records.extend(self.members().map(|view| view.record.clone()));
            answer.records.push(self.own().clone());
        }
        let mut sends = self.tell_at_once(urgent, random);
        if !answer.is_empty() {
            sends.push(Outgoing { to: from, gossip: answer });
        }
        sends
    }

    /// Returns what a node sends to an address that it was started with.
    pub fn join_message(&self) -> Gossip<V> {
        let records = vec![self.own().clone()];
        Gossip { records, joins: true, ..Gossip::default() }
    }

    fn change_own(&mut self, change: impl FnOnce(&mut Record<V>)) {
        let own = self.roster.own;
        let Some(known) = self.roster.known.get_mut(&own) else { return };
        change(&mut known.record);
        known.record.sequence += 1;
        self.roster.forget_hash(own);
        self.fresh.insert(own, 0);
    }

    // Returns whether the record was news.
    fn take(&mut self, record: Record<V>) -> bool {
        let incarnation = record.incarnation;
        if incarnation == self.roster.own {
            self.refute(&record);
            return false;
        }
        let news = self.roster.take(record);
        if news {
            self.fresh.insert(incarnation, 0);
        }
        news
    }

    // Others took this node for dead, perhaps while it was paused. A higher sequence number
    // corrects them; what it had said of itself, leaving above all, stays as it was.
    fn refute(&mut self, told: &Record<V>) {
        if told.rank() <= self.own().rank() {
            return;
        }
        let sequence = told.sequence;
        self.change_own(|record| record.sequence = record.sequence.max(sequence));
    }

    fn take_beat(&mut self, beat: Beat, answer: &mut Gossip<V>) {
        if beat.incarnation == self.roster.own {
            if beat.sequence < self.own().sequence {
                answer.records.push(self.own().clone());
            }
            return;
        }
        match self.roster.take_beat(beat) {
            BeatNews::Same => {}
            BeatNews::Ahead => answer.want.push(beat.incarnation),
            BeatNews::Behind => answer.records.extend(self.record(beat.incarnation).cloned()),
        }
    }

    fn take_summary(&mut self, from: Incarnation, summary: ZoneSummary, answer: &mut Gossip<V>) {
        self.roster.take_summary(from, &summary);
        let differences = self.differences.entry(summary.zone.clone()).or_default();
        if summary.hash == self.roster.hash_of(&summary.zone) {
            *differences = 0;
            return;
        }
        // Changes on their way make summaries differ for a moment. Only a lasting difference is
        // worth a list: a message was lost, or two parts have come together again.
        *differences += 1;
        if *differences < DIFFERENCES {
            return;
        }
        *differences = 0;
        answer.beats.extend(self.roster.versions_of(&summary.zone));
        answer.lists.push(summary.zone);
    }

    fn round(&mut self, random: &mut dyn Rng) -> Vec<Outgoing<V>> {
        let zone = self.own().zone.clone();
        let records = self.take_fresh();
        let own_summary = self.own_summary();
        let mut zones: Vec<ZoneSummary> = own_summary.iter().cloned().collect();
        for far in self.roster.far_zones() {
            zones.push(self.roster.summary_of(&far));
        }
        let gossip = Gossip {
            records: records.clone(),
            beats: self.roster.beats(),
            zones,
            ..Gossip::default()
        };
        let mut sends = Vec::new();
        for to in self.roster.domain().sample(random, self.options.fanout) {
            sends.push(Outgoing { to: *to, gossip: gossip.clone() });
        }
        self.far_fresh.extend(records.into_iter().map(|record| record.incarnation));
        let far_due = self.next_far <= self.roster.now;
        if !far_due || self.roster.is_flat() {
            return sends;
        }
        self.next_far =
            self.roster.now + self.roster.far_period().mul_f64(random.random_range(0.9..1.1));
        let records = self.take_far_fresh();
        if !self.roster.relays_of(&zone).contains(&self.roster.own) {
            return sends;
        }
        let zones = own_summary.into_iter().collect();
        let gossip = Gossip { records, zones, ..Gossip::default() };
        for to in self.far_relays(random) {
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

    // News spreads to everyone within some rounds; a record is passed on no longer than that.
    fn take_fresh(&mut self) -> Vec<Record<V>> {
        let mut records = Vec::new();
        for (incarnation, told) in &mut self.fresh {
            if records.len() == RECORDS_MAX {
                break;
            }
            *told += 1;
            let known = self.roster.known.get(incarnation);
            records.extend(known.map(|known| known.record.clone()));
        }
        let repeats = self.options.repeats;
        self.fresh.retain(|_, told| *told < repeats);
        records
    }

    // Other domains are told of changes in this one alone: each tells all others of its own.
    fn take_far_fresh(&mut self) -> Vec<Record<V>> {
        let fresh = std::mem::take(&mut self.far_fresh);
        let zone = &self.own().zone;
        let records = fresh.iter().filter_map(|incarnation| self.record(*incarnation));
        records.filter(|record| record.zone == *zone).take(RECORDS_MAX).cloned().collect()
    }

    fn tell_at_once(&self, urgent: Vec<Record<V>>, random: &mut dyn Rng) -> Vec<Outgoing<V>> {
        if urgent.is_empty() {
            return Vec::new();
        }
        let gossip = Gossip { records: urgent, ..Gossip::default() };
        let near = self.roster.domain();
        let mut to: BTreeSet<Incarnation> =
            near.sample(random, self.options.urgent_fanout).copied().collect();
        if !self.roster.is_flat() {
            let relays = self.roster.relays_of(&self.own().zone);
            if relays.contains(&self.roster.own) {
                to.extend(self.far_relays(random));
            }
            to.extend(relays);
            to.remove(&self.roster.own);
        }
        to.into_iter().map(|to| Outgoing { to, gossip: gossip.clone() }).collect()
    }

    // One relay of each far zone; of a silent zone any member, lest it be lost for good when
    // regions come together again.
    fn far_relays(&self, random: &mut dyn Rng) -> Vec<Incarnation> {
        let mut far = Vec::new();
        for zone in self.roster.far_zones() {
            let relays = self.roster.relays_of(&zone);
            let some = if relays.is_empty() { self.roster.of_zone(&zone) } else { relays };
            far.extend(some.into_iter().choose(random));
        }
        far
    }
}
