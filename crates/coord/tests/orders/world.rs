//! The simulation of one schedule of non-repeatable calls.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use bulrushhall_coord::{
    Attempts, Claim, Claims, ClaimsAction, ClaimsOptions, KeyHash, Ledger, LedgerOptions, Shard,
    SwapResult,
};
use bulrushhall_core::{Incarnation, Ran, Stamp, TeamName};
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{check::Event, store::Store};

const NODES: usize = 3;
const KEYS: u8 = 3;
const CALLS: usize = 10;
const TICK_INTERVAL: Duration = Duration::from_millis(60);
const FAULT_TIME: Duration = Duration::from_secs(3);
const END: Duration = Duration::from_secs(8);
/// The key whose call is made once there are no faults any more.
const LAST_KEY: u8 = 7;

/// A `Plan` is the input of one schedule.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seed: u64,
    pub mutant: Option<Mutant>,
}

/// A `Mutant` is an injected fault that a check has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// A write without a reply counts as written.
    AssumesWritten,
    /// Each node runs the calls that it receives without determining the key's home.
    IgnoresHomes,
    /// A call whose answer is lost is reported as not run.
    ReportsLostAsNotRun,
    /// The record is never read again after a failed call.
    NeverRetries,
}

/// A `World` is the simulation of one schedule.
pub struct World {
    plan: Plan,
    random: Pcg64Mcg,
    now: Stamp,
    queue: BinaryHeap<Reverse<(Stamp, u64, Step)>>,
    steps: u64,
    store: Store,
    nodes: Vec<Node>,
    faults: FaultRates,
    trace: Vec<Event>,
}

struct Node {
    incarnation: Incarnation,
    alive: bool,
    awake_at: Stamp,
    claims: Claims,
    ledger: Ledger,
    waiting: BTreeMap<KeyHash, Vec<u8>>,
    attempts: BTreeMap<u8, Attempts>,
}

#[derive(Clone, Copy, Debug)]
struct FaultRates {
    lost_reply: f64,
    late_write: f64,
    unavailable: f64,
    lost_answer: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Call(usize, u8),
    Read(usize, Incarnation, u16),
    Found(usize, Incarnation, u16, Option<(u64, Bytes)>),
    Write(usize, Incarnation, u16, u64, Bytes),
    LateWrite(u16, u64, Bytes),
    Swap(usize, Incarnation, u16, Reply),
    Execute(usize, Incarnation, u8),
    Executed(usize, Incarnation, u8, Ran),
    Crash(usize),
    Pause(usize, u64),
    Tick(usize),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    Written(u64),
    Conflict(u64, Bytes),
    Failed,
}

impl World {
    /// Simulates a schedule and returns its events.
    pub fn simulate(plan: Plan) -> Vec<Event> {
        let mut random = Pcg64Mcg::seed_from_u64(plan.seed);
        let mut share = || [0.0, 0.1, 0.4][random.random_range(0..3)];
        let faults = FaultRates {
            lost_reply: share(),
            late_write: share(),
            unavailable: share(),
            lost_answer: share(),
        };
        let mut world = World {
            plan,
            random,
            now: Stamp::from_millis(1),
            queue: BinaryHeap::new(),
            steps: 0,
            store: Store::default(),
            nodes: (0..NODES).map(|at| node(Incarnation(at as u64 + 1))).collect(),
            faults,
            trace: Vec::new(),
        };
        world.run();
        world.trace
    }

    fn run(&mut self) {
        for at in 0..NODES {
            self.after(TICK_INTERVAL, Step::Tick(at));
        }
        for _ in 0..CALLS {
            let (node, key) =
                (self.random.random_range(0..NODES), self.random.random_range(0..KEYS));
            let at = Duration::from_millis(self.random.random_range(0..2_500));
            self.after(at, Step::Call(node, key));
        }
        if self.random.random_bool(0.4) {
            let node = self.random.random_range(0..NODES);
            let at = Duration::from_millis(self.random.random_range(0..2_500));
            self.after(at, Step::Crash(node));
        }
        if self.random.random_bool(0.4) {
            let node = self.random.random_range(0..NODES);
            let at = Duration::from_millis(self.random.random_range(0..2_500));
            let time = self.random.random_range(100..2_000);
            self.after(at, Step::Pause(node, time));
        }
        self.after(Duration::from_secs(6), Step::Call(1, LAST_KEY));
        let end = self.now + END;
        while let Some(Reverse((at, _, step))) = self.queue.pop() {
            if end < at {
                break;
            }
            self.now = at;
            if FAULT_TIME < at.since(Stamp(0)) {
                self.faults = FaultRates {
                    lost_reply: 0.0,
                    late_write: 0.0,
                    unavailable: 0.0,
                    lost_answer: 0.0,
                };
            }
            self.step(step);
        }
        let answered = self.trace.contains(&Event::Answered { key: LAST_KEY });
        self.trace.push(Event::Recovered { key: LAST_KEY, answered });
    }

    fn step(&mut self, step: Step) {
        if let Some(at) = step.node()
            && self.now < self.nodes[at].awake_at
        {
            let awake_at = self.nodes[at].awake_at;
            self.push(awake_at, step);
            return;
        }
        let (now, wall) = (self.now, self.now.0 / 1_000);
        match step {
            Step::Call(at, key) => self.call(at, key),
            Step::Read(at, incarnation, shard) => {
                let is_unavailable = self.random.random_bool(self.faults.unavailable);
                let found = (!is_unavailable).then(|| self.store.get(Shard(shard)));
                let time = self.latency();
                self.after(time, Step::Found(at, incarnation, shard, found));
            }
            Step::Found(at, incarnation, shard, found) => {
                if self.nodes[at].incarnation != incarnation {
                    return;
                }
                if found.is_none() && self.plan.mutant == Some(Mutant::NeverRetries) {
                    return;
                }
                let actions = self.nodes[at].claims.read(now, wall, Shard(shard), found);
                self.carry_out(at, actions);
            }
            Step::Write(at, incarnation, shard, version, record) => {
                self.write(at, incarnation, shard, version, record);
            }
            Step::LateWrite(shard, version, record) => {
                self.store.swap(Shard(shard), version, record);
            }
            Step::Swap(at, incarnation, shard, reply) => {
                if self.nodes[at].incarnation != incarnation {
                    return;
                }
                let result = match reply {
                    Reply::Written(version) => SwapResult::Written(version),
                    Reply::Conflict(version, bytes) => SwapResult::Conflict(version, bytes),
                    Reply::Failed if self.plan.mutant == Some(Mutant::AssumesWritten) => {
                        SwapResult::Written(u64::MAX)
                    }
                    Reply::Failed => SwapResult::Failed,
                };
                let actions = self.nodes[at].claims.swapped(now, wall, Shard(shard), result);
                self.carry_out(at, actions);
            }
            Step::Execute(at, incarnation, key) => self.execute(at, incarnation, key),
            Step::Executed(at, incarnation, key, ran) => self.executed(at, incarnation, key, ran),
            Step::Crash(at) => self.crash(at),
            Step::Pause(at, time) => self.nodes[at].awake_at = now + Duration::from_millis(time),
            Step::Tick(at) => {
                self.after(TICK_INTERVAL, Step::Tick(at));
                let actions = self.nodes[at].claims.tick(now, wall);
                self.carry_out(at, actions);
            }
        }
    }

    // The node restarts as a new incarnation with empty state.
    fn crash(&mut self, at: usize) {
        let next = Incarnation(self.nodes[at].incarnation.0 + 10);
        self.nodes[at] = node(next);
    }

    fn call(&mut self, at: usize, key: u8) {
        if self.plan.mutant == Some(Mutant::IgnoresHomes) {
            self.run_at_home(at, key);
            return;
        }
        let hash = KeyHash::new(&team(), &[key]);
        // A node writes its claims itself or has another node write them.
        let incarnation = self.nodes[at].incarnation;
        let writer = if self.random.random_bool(0.5) { at } else { 0 };
        self.nodes[writer].waiting.entry(hash).or_default().push(key);
        let wall = self.now.0 / 1_000;
        let actions = self.nodes[writer].claims.bind(self.now, wall, hash, incarnation);
        self.carry_out(writer, actions);
    }

    fn write(
        &mut self,
        at: usize,
        incarnation: Incarnation,
        shard: u16,
        version: u64,
        record: Bytes,
    ) {
        let time = self.latency();
        if self.random.random_bool(self.faults.unavailable) {
            self.after(time, Step::Swap(at, incarnation, shard, Reply::Failed));
            return;
        }
        if self.random.random_bool(self.faults.late_write) {
            let late = Duration::from_millis(self.random.random_range(1..1_500));
            self.after(late, Step::LateWrite(shard, version, record));
            self.after(time, Step::Swap(at, incarnation, shard, Reply::Failed));
            return;
        }
        let reply = match self.store.swap(Shard(shard), version, record) {
            SwapResult::Written(version) => Reply::Written(version),
            SwapResult::Conflict(version, bytes) => Reply::Conflict(version, bytes),
            SwapResult::Failed => Reply::Failed,
        };
        let lost = self.random.random_bool(self.faults.lost_reply);
        self.after(
            time,
            Step::Swap(at, incarnation, shard, if lost { Reply::Failed } else { reply }),
        );
    }

    fn carry_out(&mut self, at: usize, actions: Vec<ClaimsAction>) {
        let incarnation = self.nodes[at].incarnation;
        for action in actions {
            let time = self.latency();
            match action {
                ClaimsAction::Read(shard) => self.after(time, Step::Read(at, incarnation, shard.0)),
                ClaimsAction::Write(shard, version, record) => {
                    self.after(time, Step::Write(at, incarnation, shard.0, version, record));
                }
                ClaimsAction::Bound(key, home) => {
                    let waiting = self.nodes[at].waiting.remove(&key).unwrap_or_default();
                    for key in waiting {
                        self.forward(home, key);
                    }
                }
                ClaimsAction::Refused(key, _) => {
                    for key in self.nodes[at].waiting.remove(&key).unwrap_or_default() {
                        self.trace.push(Event::Reported { key, ran: Ran::Unknown });
                    }
                }
            }
        }
    }

    fn forward(&mut self, home: Incarnation, key: u8) {
        match self.nodes.iter().position(|node| node.incarnation == home && node.alive) {
            Some(at) => self.run_at_home(at, key),
            None => self.trace.push(Event::Reported { key, ran: Ran::Unknown }),
        }
    }

    fn run_at_home(&mut self, at: usize, key: u8) {
        let now = self.now;
        let node = &mut self.nodes[at];
        match node.ledger.claim(now, &team(), &Bytes::copy_from_slice(&[key]), 1) {
            Claim::Run => {
                node.attempts.entry(key).or_default().begin();
                let incarnation = node.incarnation;
                let time = self.latency();
                self.after(time, Step::Execute(at, incarnation, key));
            }
            Claim::Settled(_, Some(_)) => self.trace.push(Event::Answered { key }),
            Claim::Settled(ran, None) => self.trace.push(Event::Reported { key, ran }),
            Claim::Running | Claim::OtherBody | Claim::Full => {
                self.trace.push(Event::Reported { key, ran: Ran::Unknown });
            }
        }
    }

    fn execute(&mut self, at: usize, incarnation: Incarnation, key: u8) {
        let time = self.latency();
        // A connection that cannot be opened has transferred nothing.
        let ended = if self.random.random_bool(self.faults.unavailable) {
            Ran::No
        } else {
            self.trace.push(Event::Executed { key });
            let lost = self.random.random_bool(self.faults.lost_answer);
            if lost { Ran::Unknown } else { Ran::Yes }
        };
        self.after(time, Step::Executed(at, incarnation, key, ended));
    }

    fn executed(&mut self, at: usize, incarnation: Incarnation, key: u8, ran: Ran) {
        let now = self.now;
        let node = &mut self.nodes[at];
        if node.incarnation != incarnation {
            return;
        }
        let misreports =
            self.plan.mutant == Some(Mutant::ReportsLostAsNotRun) && ran == Ran::Unknown;
        let attempts = node.attempts.entry(key).or_default();
        attempts.end(if misreports { Ran::No } else { ran });
        let ran = attempts.ran();
        let stored = (ran == Ran::Yes).then(|| Bytes::from_static(b"answer"));
        node.ledger.settle(now, &team(), &Bytes::copy_from_slice(&[key]), ran, stored);
        self.trace.push(match ran {
            Ran::Yes => Event::Answered { key },
            ran => Event::Reported { key, ran },
        });
    }

    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(300..15_000))
    }

    fn after(&mut self, time: Duration, step: Step) {
        self.push(self.now + time, step);
    }

    fn push(&mut self, at: Stamp, step: Step) {
        self.steps += 1;
        self.queue.push(Reverse((at, self.steps, step)));
    }
}

impl Step {
    // Returns the node that has to be awake for the step.
    fn node(&self) -> Option<usize> {
        match self {
            Step::Call(at, _)
            | Step::Found(at, ..)
            | Step::Swap(at, ..)
            | Step::Executed(at, ..)
            | Step::Tick(at) => Some(*at),
            Step::Read(..)
            | Step::Write(..)
            | Step::LateWrite(..)
            | Step::Execute(..)
            | Step::Crash(_)
            | Step::Pause(..) => None,
        }
    }
}

fn node(incarnation: Incarnation) -> Node {
    let options = ClaimsOptions { shards: 1, ..ClaimsOptions::default() };
    Node {
        incarnation,
        alive: true,
        awake_at: Stamp(0),
        claims: Claims::new(options),
        ledger: Ledger::new(LedgerOptions::default()),
        waiting: BTreeMap::new(),
        attempts: BTreeMap::new(),
    }
}

fn team() -> TeamName {
    TeamName::new("workshop").expect("a name")
}
