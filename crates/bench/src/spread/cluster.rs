//! A cluster of members that runs in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use bulrushhall_coord::{Condition, Gossip, Outgoing};
use bulrushhall_core::{Incarnation, Revision, Stamp};
use bulrushhall_daemon::members::Member;
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;

use crate::spread::{
    SpreadOptions, TraceEvent, Traffic,
    member::{SimMember, message_bytes, reply_bytes},
};

/// The interval at which members send work.
const WORK_INTERVAL: Duration = Duration::from_millis(250);
/// The shortest virtual time between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// The number of seed members, whose addresses are in the settings of all members.
const SEED_MEMBERS: usize = 3;
/// The initial interval between join messages to a seed member that is not a known member.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);
/// The longest interval between join messages to a seed member that does not answer.
const MAX_JOIN_INTERVAL: Duration = Duration::from_secs(10);

/// A `Cluster` is members, the messages between them and a virtual clock.
pub struct Cluster {
    options: SpreadOptions,
    random: Pcg64Mcg,
    members: Vec<SimMember>,
    by_incarnation: BTreeMap<Incarnation, usize>,
    queue: BTreeMap<(Stamp, u64), Event>,
    event_count: u64,
    now: Stamp,
    blocked_links: BTreeSet<(usize, usize)>,
    trace: Vec<TraceEvent>,
    instances: usize,
}

enum Event {
    Tick(usize, Incarnation),
    Join(usize, Incarnation, Duration),
    Work,
    Message { from: usize, to: usize, revision: Revision, gossip: Gossip<Member> },
    Reply { from: usize, to: usize, revision: Revision, replies: Vec<Gossip<Member>> },
    Fetched { member: usize, incarnation: Incarnation, revision: Revision },
}

impl Cluster {
    /// Returns a cluster whose members start at once and send join messages to the seed members.
    pub fn new(options: SpreadOptions) -> Cluster {
        let mut cluster = Cluster {
            random: Pcg64Mcg::seed_from_u64(options.seed),
            members: Vec::new(),
            by_incarnation: BTreeMap::new(),
            queue: BTreeMap::new(),
            event_count: 0,
            now: Stamp(0),
            blocked_links: BTreeSet::new(),
            trace: Vec::new(),
            instances: 0,
            options,
        };
        for index in 0..cluster.options.members {
            let member = cluster.new_member(index);
            cluster.members.push(member);
            cluster.start_member(index);
        }
        cluster
    }

    /// Returns the current time.
    pub fn now(&self) -> Stamp {
        self.now
    }

    /// Returns the trace so far.
    ///
    /// It identifies each start of a member by a number of its own. For members that were never
    /// restarted this is their index.
    pub fn trace(&self) -> &[TraceEvent] {
        &self.trace
    }

    /// Starts to trace the members' views of each other, and lets them send work to each other.
    pub fn trace_work(&mut self) {
        self.schedule(self.now, Event::Work);
    }

    /// Advances the time by `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        self.advance_until(end, |_| false);
    }

    /// Advances the time until `condition` holds, by at most `span`; returns the time it took.
    pub fn run_until(
        &mut self,
        span: Duration,
        condition: impl FnMut(&Cluster) -> bool,
    ) -> Option<Duration> {
        let (start, end) = (self.now, self.now + span);
        self.advance_until(end, condition).then(|| self.now.since(start))
    }

    /// Returns the indexes of the members that are alive.
    pub fn alive(&self) -> Vec<usize> {
        (0..self.members.len()).filter(|index| self.members[*index].alive).collect()
    }

    /// Returns the indexes of the members of a zone.
    pub fn members_of_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.members.len()).filter(|index| self.members[*index].zone == zone).collect()
    }

    /// Returns the region of a zone.
    pub fn region_of(&self, zone: usize) -> usize {
        zone % self.options.regions
    }

    /// Returns the zone of a member.
    pub fn zone_of(&self, index: usize) -> usize {
        self.members[index].zone
    }

    /// Returns how many other members a member considers alive, suspected ones included.
    pub fn member_count(&self, index: usize) -> usize {
        self.members[index].membership.members().count()
    }

    /// Returns how many other members a member suspects.
    pub fn suspected_count(&self, index: usize) -> usize {
        self.members[index].membership.members().filter(|view| view.suspected).count()
    }

    /// Returns the number of records that a member keeps, tombstones included.
    pub fn record_count(&self, index: usize) -> usize {
        self.members[index].membership.record_count()
    }

    /// Returns whether a member considers the current incarnation of another alive.
    pub fn considers_alive(&self, index: usize, other: usize) -> bool {
        let incarnation = self.members[other].sender.incarnation;
        self.members[index].membership.members().any(|view| view.record.incarnation == incarnation)
    }

    /// Returns whether a member has a record of another as leaving or dead.
    pub fn knows_leaving(&self, index: usize, other: usize) -> bool {
        let incarnation = self.members[other].sender.incarnation;
        let record = self.members[index].membership.record(incarnation);
        record.is_some_and(|record| record.condition != Condition::Alive)
    }

    /// Returns the revision that a member has in force.
    pub fn revision(&self, index: usize) -> Revision {
        self.members[index].sender.revision
    }

    /// Returns the traffic of each member since the last call.
    pub fn take_traffic(&mut self) -> Vec<Traffic> {
        self.members.iter_mut().map(|member| std::mem::take(&mut member.traffic)).collect()
    }

    /// Returns the processor time of each member's state machine and codec since the last call.
    pub fn take_processor_time(&mut self) -> Vec<Duration> {
        self.members.iter_mut().map(|member| std::mem::take(&mut member.processor_time)).collect()
    }

    /// Makes a member leave.
    pub fn leave(&mut self, index: usize) {
        let instance = self.members[index].instance;
        self.trace.push(TraceEvent::LeavingStarted { at: self.now, member: instance });
        let member = &mut self.members[index];
        let sends = member.membership.leave(&mut member.random);
        self.send_all(index, sends);
    }

    /// Kills a member without a message to the others.
    pub fn kill(&mut self, index: usize) {
        self.members[index].alive = false;
    }

    /// Starts a new incarnation of a member.
    pub fn restart(&mut self, index: usize) {
        self.members[index] = self.new_member(index);
        self.start_member(index);
    }

    /// Pauses a member for `span`; messages to it are handled after the pause.
    pub fn pause(&mut self, index: usize, span: Duration) {
        self.members[index].paused_until = self.now + span;
    }

    /// Blocks messages from one member to another.
    pub fn block(&mut self, from: usize, to: usize) {
        self.blocked_links.insert((from, to));
    }

    /// Blocks messages between two groups of members, in both directions.
    pub fn partition(&mut self, some: &[usize], others: &[usize]) {
        for a in some {
            for b in others {
                self.blocked_links.insert((*a, *b));
                self.blocked_links.insert((*b, *a));
            }
        }
    }

    /// Unblocks all messages.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    /// Accepts a revision; the members `watchers` receive it from the key-value service at once.
    pub fn accept(&mut self, revision: Revision, watchers: &[usize]) {
        self.trace.push(TraceEvent::Accepted { at: self.now, revision });
        for index in watchers {
            self.put_in_force(*index, revision);
        }
    }

    fn new_member(&mut self, index: usize) -> SimMember {
        let instance = self.instances;
        self.instances += 1;
        let zone = index % self.options.zones;
        let options = self.options.membership_options();
        SimMember::new(index, instance, zone, self.now, options, self.options.seed)
    }

    fn start_member(&mut self, index: usize) {
        let incarnation = self.members[index].sender.incarnation;
        self.by_incarnation.insert(incarnation, index);
        self.schedule(self.now, Event::Tick(index, incarnation));
        self.schedule(self.now, Event::Join(index, incarnation, JOIN_INTERVAL));
    }

    fn advance_until(&mut self, end: Stamp, mut condition: impl FnMut(&Cluster) -> bool) -> bool {
        let mut last_check = Stamp(0);
        while let Some(entry) = self.queue.first_entry() {
            let &(time, _) = entry.key();
            if end < time {
                break;
            }
            let event = entry.remove();
            self.now = time;
            self.handle(event);
            if self.now.since(last_check) < CHECK_INTERVAL {
                continue;
            }
            last_check = self.now;
            if condition(self) {
                return true;
            }
        }
        self.now = end;
        false
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(index, incarnation) => self.tick(index, incarnation),
            Event::Join(index, incarnation, interval) => self.join(index, incarnation, interval),
            Event::Work => self.send_work(),
            Event::Fetched { member, incarnation, revision } => {
                if self.is_current(member, incarnation) {
                    self.put_in_force(member, revision);
                }
            }
            Event::Message { from, to, revision, gossip } => {
                self.receive(from, to, revision, gossip);
            }
            Event::Reply { from, to, revision, replies } => {
                if let Some(resumes_at) = self.pause_end(to) {
                    self.schedule(resumes_at, Event::Reply { from, to, revision, replies });
                    return;
                }
                self.members[to].traffic.received +=
                    reply_bytes(&self.members[from].sender, &replies);
                self.fetch_if_newer(to, from, revision);
                for gossip in replies {
                    let sends = self.deliver(to, from, gossip);
                    self.send_all(to, sends);
                }
            }
        }
    }

    fn tick(&mut self, index: usize, incarnation: Incarnation) {
        if !self.is_current(index, incarnation) {
            return;
        }
        if let Some(resumes_at) = self.pause_end(index) {
            self.schedule(resumes_at, Event::Tick(index, incarnation));
            return;
        }
        let now = self.now;
        let member = &mut self.members[index];
        let started = Instant::now();
        let sends = member.membership.tick(now, &mut member.random);
        member.processor_time += started.elapsed();
        let next = member.membership.next_round();
        self.schedule(next, Event::Tick(index, incarnation));
        self.send_all(index, sends);
    }

    // As in the daemon, join messages are sent without end to seed addresses that belong to no
    // known member.
    fn join(&mut self, index: usize, incarnation: Incarnation, interval: Duration) {
        if !self.is_current(index, incarnation) {
            return;
        }
        let mut missing = false;
        for seed in 0..SEED_MEMBERS.min(self.members.len()) {
            if seed == index || !self.members[seed].alive || self.considers_alive(index, seed) {
                continue;
            }
            missing = true;
            let gossip = self.members[index].membership.join_message();
            self.send(index, seed, gossip);
        }
        let interval = if missing { (interval * 2).min(MAX_JOIN_INTERVAL) } else { JOIN_INTERVAL };
        self.schedule(self.now + interval, Event::Join(index, incarnation, interval));
    }

    // Each member traces its views of the others and sends work to one that it sees as not leaving.
    fn send_work(&mut self) {
        for index in self.alive() {
            if self.pause_end(index).is_some() {
                continue;
            }
            let mut open = Vec::new();
            let member = self.members[index].instance;
            for view in self.members[index].membership.members() {
                let Some(other) = self.by_incarnation.get(&view.record.incarnation).copied() else {
                    continue;
                };
                if !self.is_current(other, view.record.incarnation) {
                    continue;
                }
                let leaving = view.record.condition != Condition::Alive;
                if !leaving {
                    open.push(self.members[other].instance);
                }
                let other = self.members[other].instance;
                self.trace.push(TraceEvent::Observed { at: self.now, member, other, leaving });
            }
            if let Some(to) = open.choose(&mut self.random).copied() {
                self.trace.push(TraceEvent::Work { at: self.now, member, to });
            }
        }
        self.schedule(self.now + WORK_INTERVAL, Event::Work);
    }

    fn send_all(&mut self, from: usize, sends: Vec<Outgoing<Member>>) {
        for send in sends {
            let Some(to) = self.by_incarnation.get(&send.to).copied() else { continue };
            if self.members[to].sender.incarnation == send.to {
                self.send(from, to, send.gossip);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, gossip: Gossip<Member>) {
        let incarnation = self.members[to].sender.incarnation;
        let started = Instant::now();
        let bytes = message_bytes(&self.members[from].sender, incarnation, &gossip);
        let member = &mut self.members[from];
        member.processor_time += started.elapsed();
        member.traffic.messages += 1;
        member.traffic.sent += bytes;
        let revision = member.sender.revision;
        if let Some(time) = self.arrival_time(from, to) {
            self.schedule(time, Event::Message { from, to, revision, gossip });
        }
    }

    fn receive(&mut self, from: usize, to: usize, revision: Revision, gossip: Gossip<Member>) {
        if !self.members[to].alive {
            return;
        }
        if let Some(resumes_at) = self.pause_end(to) {
            self.schedule(resumes_at, Event::Message { from, to, revision, gossip });
            return;
        }
        let incarnation = self.members[to].sender.incarnation;
        self.members[to].traffic.received +=
            message_bytes(&self.members[from].sender, incarnation, &gossip);
        self.fetch_if_newer(to, from, revision);
        let sender = self.members[from].sender.incarnation;
        let sends = self.deliver(to, from, gossip);
        let (back, others): (Vec<_>, Vec<_>) =
            sends.into_iter().partition(|send| send.to == sender);
        self.send_all(to, others);
        let replies: Vec<Gossip<Member>> = back.into_iter().map(|send| send.gossip).collect();
        let started = Instant::now();
        let bytes = reply_bytes(&self.members[to].sender, &replies);
        self.members[to].processor_time += started.elapsed();
        self.members[to].traffic.sent += bytes;
        let revision = self.members[to].sender.revision;
        if let Some(time) = self.arrival_time(to, from) {
            self.schedule(time, Event::Reply { from: to, to: from, revision, replies });
        }
    }

    fn deliver(&mut self, to: usize, from: usize, gossip: Gossip<Member>) -> Vec<Outgoing<Member>> {
        let sender = self.members[from].sender.incarnation;
        let now = self.now;
        let member = &mut self.members[to];
        if !member.alive {
            return Vec::new();
        }
        let started = Instant::now();
        let sends = member.membership.receive(now, sender, gossip, &mut member.random);
        member.processor_time += started.elapsed();
        sends
    }

    // A member that receives a newer revision number fetches the revision from the sender, which
    // takes a round trip.
    fn fetch_if_newer(&mut self, index: usize, source: usize, revision: Revision) {
        if revision <= self.members[index].sender.revision {
            return;
        }
        let requested = self.arrival_time(index, source);
        let replied = self.arrival_time(source, index);
        let (Some(requested), Some(replied)) = (requested, replied) else { return };
        let incarnation = self.members[index].sender.incarnation;
        let fetched_at = requested + replied.since(self.now);
        self.schedule(fetched_at, Event::Fetched { member: index, incarnation, revision });
    }

    fn put_in_force(&mut self, index: usize, revision: Revision) {
        if revision <= self.members[index].sender.revision {
            return;
        }
        self.members[index].sender.revision = revision;
        let member = self.members[index].instance;
        self.trace.push(TraceEvent::InForce { at: self.now, member, revision });
    }

    // Returns when a message arrives, or `None` if it is lost or blocked.
    fn arrival_time(&mut self, from: usize, to: usize) -> Option<Stamp> {
        let lost = self.random.random_bool(self.options.loss);
        if lost || self.blocked_links.contains(&(from, to)) {
            return None;
        }
        let regions = [from, to].map(|index| self.region_of(self.members[index].zone));
        let same_region = regions[0] == regions[1];
        let delay = if same_region { self.options.near_delay } else { self.options.far_delay };
        Some(self.now + delay.mul_f64(self.random.random_range(1.0..1.5)))
    }

    fn pause_end(&self, index: usize) -> Option<Stamp> {
        let resumes_at = self.members[index].paused_until;
        (self.now < resumes_at).then_some(resumes_at)
    }

    fn is_current(&self, index: usize, incarnation: Incarnation) -> bool {
        self.members[index].alive && self.members[index].sender.incarnation == incarnation
    }

    fn schedule(&mut self, time: Stamp, event: Event) {
        self.event_count += 1;
        self.queue.insert((time, self.event_count), event);
    }
}
