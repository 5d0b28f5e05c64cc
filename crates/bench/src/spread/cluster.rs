//! A cluster of members that runs in simulated time.

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

/// The pause between two looks of members that send work.
const WORK_PAUSE: Duration = Duration::from_millis(250);
/// The shortest simulated time between two looks at whether something holds.
const LOOK_PAUSE: Duration = Duration::from_millis(2);
/// The members whose addresses stand in the settings of all.
const SEEDS: usize = 3;
/// The pause between two greetings of such a member while it is not known.
const GREET_PAUSE: Duration = Duration::from_millis(250);
/// The longest pause between two greetings of a member that does not answer.
const GREET_PAUSE_MAX: Duration = Duration::from_secs(10);

/// A `Cluster` is a number of members, the messages between them and a clock.
pub struct Cluster {
    options: SpreadOptions,
    random: Pcg64Mcg,
    members: Vec<SimMember>,
    by_life: BTreeMap<Incarnation, usize>,
    queue: BTreeMap<(Stamp, u64), Due>,
    pushed: u64,
    now: Stamp,
    cuts: BTreeSet<(usize, usize)>,
    trace: Vec<TraceEvent>,
    lives: usize,
}

enum Due {
    Tick(usize, Incarnation),
    Greet(usize, Incarnation, Duration),
    Work,
    Message { from: usize, to: usize, revision: Revision, gossip: Gossip<Member> },
    Reply { from: usize, to: usize, revision: Revision, replies: Vec<Gossip<Member>> },
    Fetched { member: usize, life: Incarnation, revision: Revision },
}

impl Cluster {
    /// Returns members that start one after the other and greet an earlier one.
    pub fn new(options: SpreadOptions) -> Cluster {
        let mut cluster = Cluster {
            random: Pcg64Mcg::seed_from_u64(options.seed),
            members: Vec::new(),
            by_life: BTreeMap::new(),
            queue: BTreeMap::new(),
            pushed: 0,
            now: Stamp(0),
            cuts: BTreeSet::new(),
            trace: Vec::new(),
            lives: 0,
            options,
        };
        for at in 0..cluster.options.members {
            let member = cluster.fresh(at);
            cluster.members.push(member);
            cluster.begin(at);
        }
        cluster
    }

    /// Returns the present time.
    pub fn now(&self) -> Stamp {
        self.now
    }

    /// Returns what happened; members are told by the number of their life, which is their own
    /// number as long as none was started anew.
    pub fn trace(&self) -> &[TraceEvent] {
        &self.trace
    }

    /// Begins to note views of members, and work that they send to each other.
    pub fn trace_work(&mut self) {
        self.push(self.now, Due::Work);
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        self.run_until(end, |_| false);
    }

    /// Lets time pass until `holds`, at most `span`; returns the time it took.
    pub fn run_while_not(
        &mut self,
        span: Duration,
        holds: impl FnMut(&Cluster) -> bool,
    ) -> Option<Duration> {
        let (start, end) = (self.now, self.now + span);
        self.run_until(end, holds).then(|| self.now.since(start))
    }

    /// Returns the numbers of the members that are alive.
    pub fn alive(&self) -> Vec<usize> {
        (0..self.members.len()).filter(|at| self.members[*at].alive).collect()
    }

    /// Returns the numbers of the members of a zone.
    pub fn of_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.members.len()).filter(|at| self.members[*at].zone == zone).collect()
    }

    /// Returns the region that a zone lies in.
    pub fn region_of(&self, zone: usize) -> usize {
        zone % self.options.regions
    }

    /// Returns the zone of a member.
    pub fn zone_of(&self, at: usize) -> usize {
        self.members[at].zone
    }

    /// Returns how many other members one believes to be alive.
    pub fn believed(&self, at: usize) -> usize {
        self.members[at].machine.members().count()
    }

    /// Returns how many other members one suspects.
    pub fn suspects(&self, at: usize) -> usize {
        self.members[at].machine.members().filter(|view| view.suspected).count()
    }

    /// Returns the records that a member holds.
    pub fn held(&self, at: usize) -> usize {
        self.members[at].machine.record_count()
    }

    /// Returns whether a member believes another one's present life to be alive.
    pub fn believes(&self, at: usize, other: usize) -> bool {
        let life = self.members[other].sender.incarnation;
        self.members[at].machine.members().any(|view| view.record.incarnation == life)
    }

    /// Returns whether a member knows that another one is leaving.
    pub fn knows_leaving(&self, at: usize, other: usize) -> bool {
        let life = self.members[other].sender.incarnation;
        let record = self.members[at].machine.record(life);
        record.is_some_and(|record| record.condition != Condition::Alive)
    }

    /// Returns the revision that a member has in force.
    pub fn revision(&self, at: usize) -> Revision {
        self.members[at].sender.revision
    }

    /// Returns the traffic of each member since the last call.
    pub fn take_traffic(&mut self) -> Vec<Traffic> {
        self.members.iter_mut().map(|member| std::mem::take(&mut member.traffic)).collect()
    }

    /// Returns the processor time of each member's machine and codec since the last call.
    pub fn take_busy(&mut self) -> Vec<Duration> {
        self.members.iter_mut().map(|member| std::mem::take(&mut member.busy)).collect()
    }

    /// Lets a member begin to leave.
    pub fn leave(&mut self, at: usize) {
        let life = self.members[at].life;
        self.trace.push(TraceEvent::Left { at: self.now, member: life });
        let member = &mut self.members[at];
        let sends = member.machine.leave(&mut member.random);
        self.send_all(at, sends);
    }

    /// Ends a member without a word.
    pub fn kill(&mut self, at: usize) {
        self.members[at].alive = false;
    }

    /// Starts a new life of a member.
    pub fn restart(&mut self, at: usize) {
        self.members[at] = self.fresh(at);
        self.begin(at);
    }

    /// Stops a member for a while; what is sent to it arrives when it wakes.
    pub fn pause(&mut self, at: usize, span: Duration) {
        self.members[at].paused_until = self.now + span;
    }

    /// Lets nothing pass from one member to another.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Lets nothing pass between two groups of members.
    pub fn cut_between(&mut self, some: &[usize], others: &[usize]) {
        for a in some {
            for b in others {
                self.cuts.insert((*a, *b));
                self.cuts.insert((*b, *a));
            }
        }
    }

    /// Lets everything pass again.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Accepts a revision and lets the given members learn it from the service.
    pub fn accept(&mut self, revision: Revision, watchers: &[usize]) {
        self.trace.push(TraceEvent::Accepted { at: self.now, revision });
        for at in watchers {
            self.put_in_force(*at, revision);
        }
    }

    fn fresh(&mut self, at: usize) -> SimMember {
        let life = self.lives;
        self.lives += 1;
        let zone = at % self.options.zones;
        let membership = self.options.membership();
        SimMember::new(at, life, zone, self.now, membership, self.options.seed)
    }

    fn begin(&mut self, at: usize) {
        let life = self.members[at].sender.incarnation;
        self.by_life.insert(life, at);
        self.push(self.now, Due::Tick(at, life));
        self.push(self.now, Due::Greet(at, life, GREET_PAUSE));
    }

    fn run_until(&mut self, end: Stamp, mut holds: impl FnMut(&Cluster) -> bool) -> bool {
        let mut looked = Stamp(0);
        while let Some(entry) = self.queue.first_entry() {
            let &(at, _) = entry.key();
            if end < at {
                break;
            }
            let due = entry.remove();
            self.now = at;
            self.happen(due);
            if self.now.since(looked) < LOOK_PAUSE {
                continue;
            }
            looked = self.now;
            if holds(self) {
                return true;
            }
        }
        self.now = end;
        false
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Tick(at, life) => self.tick(at, life),
            Due::Greet(at, life, pause) => self.greet(at, life, pause),
            Due::Work => self.work(),
            Due::Fetched { member, life, revision } => {
                if self.is_life(member, life) {
                    self.put_in_force(member, revision);
                }
            }
            Due::Message { from, to, revision, gossip } => {
                self.receive(from, to, revision, gossip);
            }
            Due::Reply { from, to, revision, replies } => {
                if let Some(wakes) = self.asleep(to) {
                    self.push(wakes, Due::Reply { from, to, revision, replies });
                    return;
                }
                self.members[to].traffic.received +=
                    reply_bytes(&self.members[from].sender, &replies);
                self.hear(to, from, revision);
                for gossip in replies {
                    let sends = self.take(to, from, gossip);
                    self.send_all(to, sends);
                }
            }
        }
    }

    fn tick(&mut self, at: usize, life: Incarnation) {
        if !self.is_life(at, life) {
            return;
        }
        if let Some(wakes) = self.asleep(at) {
            self.push(wakes, Due::Tick(at, life));
            return;
        }
        let now = self.now;
        let member = &mut self.members[at];
        let started = Instant::now();
        let sends = member.machine.tick(now, &mut member.random);
        member.busy += started.elapsed();
        let next = member.machine.next_round();
        self.push(next, Due::Tick(at, life));
        self.send_all(at, sends);
    }

    // As the daemon does: addresses from the settings that are no member's are greeted for ever.
    fn greet(&mut self, at: usize, life: Incarnation, pause: Duration) {
        if !self.is_life(at, life) {
            return;
        }
        let mut missing = false;
        for seed in 0..SEEDS.min(self.members.len()) {
            if seed == at || !self.members[seed].alive || self.believes(at, seed) {
                continue;
            }
            missing = true;
            let gossip = self.members[at].machine.join_message();
            self.post(at, seed, gossip);
        }
        let pause = if missing { (pause * 2).min(GREET_PAUSE_MAX) } else { GREET_PAUSE };
        self.push(self.now + pause, Due::Greet(at, life, pause));
    }

    // Each member sends work to a member that it believes to take some.
    fn work(&mut self) {
        for at in self.alive() {
            if self.asleep(at).is_some() {
                continue;
            }
            let mut open = Vec::new();
            let member = self.members[at].life;
            for view in self.members[at].machine.members() {
                let Some(other) = self.by_life.get(&view.record.incarnation).copied() else {
                    continue;
                };
                if !self.is_life(other, view.record.incarnation) {
                    continue;
                }
                let leaving = view.record.condition != Condition::Alive;
                if !leaving {
                    open.push(self.members[other].life);
                }
                let other = self.members[other].life;
                self.trace.push(TraceEvent::Seen { at: self.now, member, other, leaving });
            }
            if let Some(to) = open.choose(&mut self.random).copied() {
                self.trace.push(TraceEvent::Work { at: self.now, member, to });
            }
        }
        self.push(self.now + WORK_PAUSE, Due::Work);
    }

    fn send_all(&mut self, from: usize, sends: Vec<Outgoing<Member>>) {
        for send in sends {
            let Some(to) = self.by_life.get(&send.to).copied() else { continue };
            if self.members[to].sender.incarnation == send.to {
                self.post(from, to, send.gossip);
            }
        }
    }

    fn post(&mut self, from: usize, to: usize, gossip: Gossip<Member>) {
        let life = self.members[to].sender.incarnation;
        let started = Instant::now();
        let bytes = message_bytes(&self.members[from].sender, life, &gossip);
        let member = &mut self.members[from];
        member.busy += started.elapsed();
        member.traffic.messages += 1;
        member.traffic.sent += bytes;
        let revision = member.sender.revision;
        if let Some(at) = self.arrival(from, to) {
            self.push(at, Due::Message { from, to, revision, gossip });
        }
    }

    fn receive(&mut self, from: usize, to: usize, revision: Revision, gossip: Gossip<Member>) {
        if !self.members[to].alive {
            return;
        }
        if let Some(wakes) = self.asleep(to) {
            self.push(wakes, Due::Message { from, to, revision, gossip });
            return;
        }
        let life = self.members[to].sender.incarnation;
        self.members[to].traffic.received +=
            message_bytes(&self.members[from].sender, life, &gossip);
        self.hear(to, from, revision);
        let sender = self.members[from].sender.incarnation;
        let sends = self.take(to, from, gossip);
        let (back, others): (Vec<_>, Vec<_>) =
            sends.into_iter().partition(|send| send.to == sender);
        self.send_all(to, others);
        let replies: Vec<Gossip<Member>> = back.into_iter().map(|send| send.gossip).collect();
        let started = Instant::now();
        let bytes = reply_bytes(&self.members[to].sender, &replies);
        self.members[to].busy += started.elapsed();
        self.members[to].traffic.sent += bytes;
        let revision = self.members[to].sender.revision;
        if let Some(at) = self.arrival(to, from) {
            self.push(at, Due::Reply { from: to, to: from, revision, replies });
        }
    }

    fn take(&mut self, to: usize, from: usize, gossip: Gossip<Member>) -> Vec<Outgoing<Member>> {
        let sender = self.members[from].sender.incarnation;
        let now = self.now;
        let member = &mut self.members[to];
        if !member.alive {
            return Vec::new();
        }
        let started = Instant::now();
        let sends = member.machine.receive(now, sender, gossip, &mut member.random);
        member.busy += started.elapsed();
        sends
    }

    // A member that hears of a newer revision fetches it from the one that told: there and back.
    fn hear(&mut self, at: usize, teller: usize, revision: Revision) {
        if revision <= self.members[at].sender.revision {
            return;
        }
        let there = self.arrival(at, teller);
        let back = self.arrival(teller, at);
        let (Some(there), Some(back)) = (there, back) else { return };
        let life = self.members[at].sender.incarnation;
        let arrives = there + back.since(self.now);
        self.push(arrives, Due::Fetched { member: at, life, revision });
    }

    fn put_in_force(&mut self, at: usize, revision: Revision) {
        if revision <= self.members[at].sender.revision {
            return;
        }
        self.members[at].sender.revision = revision;
        let member = self.members[at].life;
        self.trace.push(TraceEvent::InForce { at: self.now, member, revision });
    }

    // When a message arrives, unless it is lost.
    fn arrival(&mut self, from: usize, to: usize) -> Option<Stamp> {
        let lost = self.random.random_bool(self.options.loss);
        if lost || self.cuts.contains(&(from, to)) {
            return None;
        }
        let regions = [from, to].map(|at| self.region_of(self.members[at].zone));
        let near = regions[0] == regions[1];
        let delay = if near { self.options.near_delay } else { self.options.far_delay };
        Some(self.now + delay.mul_f64(self.random.random_range(1.0..1.5)))
    }

    fn asleep(&self, at: usize) -> Option<Stamp> {
        let wakes = self.members[at].paused_until;
        (self.now < wakes).then_some(wakes)
    }

    fn is_life(&self, at: usize, life: Incarnation) -> bool {
        self.members[at].alive && self.members[at].sender.incarnation == life
    }

    fn push(&mut self, at: Stamp, due: Due) {
        self.pushed += 1;
        self.queue.insert((at, self.pushed), due);
    }
}
