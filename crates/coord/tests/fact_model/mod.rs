//! A model of nodes that exchange facts by the rules of digests, over a network that loses, repeats and delays.

#![allow(dead_code, reason = "each test uses a part of the model")]

mod node;
mod ways;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bulrushhall_coord::{
    Contact, RelayOptions, RelayPeer, RelayPlan, RelayRanking, RelayRequested, Role, UpdateSources,
    facts::{
        FactBatch, FactKind, FactKindId, FactPriority, FactScope, FactValue, Facts, MergeRule,
    },
};
use bulrushhall_core::{Incarnation, NodeName, Stamp, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

pub use node::{Node, Peer};
pub use ways::Ways;

/// The kind whose values are summed.
pub const SUM: FactKindId = FactKindId(1);
/// The kind of which the newest value counts.
pub const NEWEST: FactKindId = FactKindId(2);
/// The maximum age of both kinds.
pub const MAX_AGE: Duration = Duration::from_secs(3);
/// A node of an earlier version, which exchanges no batches.
pub const EARLIER: Incarnation = Incarnation(7);
const FLAT_INTERVAL: Duration = Duration::from_millis(250);
const RELAYED_INTERVAL: Duration = Duration::from_millis(200);
const LIVE_FOR: Duration = Duration::from_millis(1_200);
const CONTACTED_FOR: Duration = Duration::from_millis(1_000);
const STANDBY_INTERVAL: u64 = 2;

/// The `Options` of a world.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub nodes: usize,
    pub zones: usize,
    pub seed: u64,
    /// The probability that a message is lost.
    pub loss: f64,
    /// The probability that a message arrives a second time, later.
    pub repeats: f64,
    /// The greatest delay of a message, in milliseconds.
    pub max_delay_ms: u64,
    /// The budget of a batch, in bytes.
    pub budget: usize,
    /// The tolerance of the sum, and its settle time.
    pub tolerance: (f64, Duration),
}

impl Default for Options {
    fn default() -> Self {
        Options {
            nodes: 5,
            zones: 4,
            seed: 1,
            loss: 0.0,
            repeats: 0.0,
            max_delay_ms: 20,
            budget: 2_000,
            tolerance: (0.0, Duration::ZERO),
        }
    }
}

/// A `Scope` is the scope of a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    Own,
    Zone,
    Others,
    Nothing,
}

#[derive(Clone, Debug)]
struct Message {
    from: usize,
    sender: Incarnation,
    to: usize,
    scope: Scope,
    reply_scope: Scope,
    nodes: u32,
    batch: FactBatch,
    is_reply: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Round(usize, Incarnation),
    Arrival(Message),
}

/// A `World` is all nodes and the messages on their way.
pub struct World {
    pub options: Options,
    pub now: Stamp,
    pub nodes: Vec<Node>,
    /// The bytes of the batches that each node sent.
    pub bytes: Vec<usize>,
    /// The bytes that other ways would have taken, if they are counted.
    pub ways: Option<Ways>,
    /// The nodes that can't exchange messages with the others.
    pub isolated: BTreeSet<usize>,
    rng: Pcg32,
    events: BTreeMap<(Stamp, u64), Event>,
    event_count: u64,
}

/// Returns a registry with the kinds of the model.
pub fn registry(incarnation: Incarnation, options: &Options) -> Facts {
    let mut facts = Facts::new(incarnation);
    for (id, rule, priority) in
        [(SUM, MergeRule::Sum, FactPriority::High), (NEWEST, MergeRule::Newest, FactPriority::Low)]
    {
        let (tolerance, settle_time) = match rule {
            MergeRule::Sum => options.tolerance,
            _ => (0.0, Duration::ZERO),
        };
        let kind = FactKind {
            id,
            rule,
            priority,
            max_age: MAX_AGE,
            tolerance,
            settle_time,
            ..FactKind::default()
        };
        facts.register(kind).unwrap();
    }
    facts
}

impl World {
    pub fn new(options: Options) -> World {
        let mut world = World {
            options,
            now: Stamp::from_millis(10_000),
            nodes: Vec::new(),
            bytes: vec![0; options.nodes],
            ways: None,
            isolated: BTreeSet::new(),
            rng: Pcg32::seed_from_u64(options.seed),
            events: BTreeMap::new(),
            event_count: 0,
        };
        for index in 0..options.nodes {
            let incarnation = Incarnation(1_000 + index as u64);
            world.nodes.push(Node {
                name: NodeName::new(format!("node-{index}")).unwrap(),
                zone: ZoneName::new(format!("zone-{}", index % options.zones)).unwrap(),
                incarnation,
                facts: registry(incarnation, &options),
                plan: RelayPlan::default(),
                is_running: true,
                sources: UpdateSources::default(),
                peers: BTreeMap::new(),
                contacted_at: None,
                rounds: 0,
            });
            let offset = Duration::from_millis(world.rng.random_range(0..200));
            world.post(offset, Event::Round(index, incarnation));
        }
        world
    }

    fn post(&mut self, after: Duration, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + after, self.event_count), event);
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            let at = entry.key().0;
            if end < at {
                break;
            }
            let event = entry.remove();
            self.now = at;
            match event {
                Event::Round(index, incarnation) => self.round(index, incarnation),
                Event::Arrival(message) => self.arrive(message),
            }
        }
        self.now = end;
    }

    /// Sets the contribution of a node.
    pub fn set(&mut self, index: usize, kind: FactKindId, subject: &str, numbers: &[f64]) {
        let value = FactValue::new(numbers).unwrap();
        self.nodes[index].facts.set(self.now, kind, subject, value).unwrap();
    }

    /// Ends a node without notice.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].is_running = false;
    }

    /// Starts a node again, with a new incarnation and without state.
    pub fn restart(&mut self, index: usize) {
        let incarnation = Incarnation(self.nodes[index].incarnation.0 + 10_000);
        let options = self.options;
        let node = &mut self.nodes[index];
        node.incarnation = incarnation;
        node.facts = registry(incarnation, &options);
        (node.plan, node.sources) = (RelayPlan::default(), UpdateSources::default());
        (node.peers, node.is_running) = (BTreeMap::new(), true);
        self.post(Duration::ZERO, Event::Round(index, incarnation));
    }

    fn peer(&self, index: usize, other: usize) -> Peer {
        self.nodes[index].peers.get(&other).copied().unwrap_or_default()
    }

    fn is_live(&self, index: usize, other: usize) -> bool {
        let received_at = self.peer(index, other).received_at;
        received_at.is_some_and(|at| self.now.since(at) < LIVE_FOR)
    }

    fn plan(&mut self, index: usize) {
        let options = RelayOptions::default();
        let now = self.now;
        let contact_of = |other: usize| {
            let peer = self.peer(index, other);
            let (contact, silent_after) = match peer.received_at {
                Some(_) => (Contact::Responsive, options.silent_after),
                None => (Contact::Unheard, options.unheard_silent_after),
            };
            let since = peer.unanswered_since;
            let is_silent = since.is_some_and(|since| silent_after <= now.since(since));
            if is_silent { Contact::Silent } else { contact }
        };
        let peer_of = |other: usize, contact| {
            let Node { name, zone, .. } = &self.nodes[other];
            RelayPeer { node: name, zone, contact, weight: None, ranking: RelayRanking::Weight }
        };
        let others = (0..self.nodes.len()).filter(|other| *other != index);
        let others: Vec<_> = others.map(|other| peer_of(other, contact_of(other))).collect();
        let contacted_at = self.nodes[index].contacted_at;
        let requested = match contacted_at.is_some_and(|at| now.since(at) < CONTACTED_FOR) {
            true => RelayRequested::Yes,
            false => RelayRequested::No,
        };
        let plan = options.plan(peer_of(index, Contact::Responsive), others, requested);
        let node = &mut self.nodes[index];
        if plan.role != node.plan.role {
            node.sources.clear();
            if node.plan.role == Role::Flat || plan.role == Role::Flat {
                node.facts.forget_all();
            }
        }
        node.plan = plan;
    }

    fn round(&mut self, index: usize, incarnation: Incarnation) {
        if !self.nodes[index].is_running || self.nodes[index].incarnation != incarnation {
            return;
        }
        let mut known: BTreeSet<Incarnation> =
            self.nodes.iter().map(|node| node.incarnation).collect();
        known.insert(EARLIER);
        self.nodes[index].facts.retain(|sender| known.contains(&sender));
        self.nodes[index].rounds += 1;
        self.plan(index);
        let mut batches: Vec<(Scope, u32, FactBatch)> = Vec::new();
        for (to, scope, reply_scope) in self.exchanges(index) {
            if !batches.iter().any(|(known, ..)| *known == scope) {
                let (nodes, batch) = self.batch(index, scope, None);
                batches.push((scope, nodes, batch));
            }
            let Some((_, nodes, batch)) = batches.iter().find(|(known, ..)| *known == scope) else {
                continue;
            };
            let (nodes, batch) = (*nodes, batch.clone());
            let sender = incarnation;
            self.nodes[index].peers.entry(to).or_default().unanswered_since.get_or_insert(self.now);
            let message = Message {
                from: index,
                sender,
                to,
                scope,
                reply_scope,
                nodes,
                batch,
                is_reply: false,
            };
            self.send(message);
        }
        let is_flat = self.nodes[index].plan.role == Role::Flat;
        let interval = if is_flat { FLAT_INTERVAL } else { RELAYED_INTERVAL };
        self.post(interval, Event::Round(index, incarnation));
    }

    fn exchanges(&self, index: usize) -> Vec<(usize, Scope, Scope)> {
        let node = &self.nodes[index];
        let mut exchanges = Vec::new();
        for (to, other) in self.nodes.iter().enumerate().filter(|(to, _)| *to != index) {
            let initiates = node.name < other.name || !self.is_live(index, to);
            let is_relay = node.plan.role == Role::Relay;
            if node.plan.role == Role::Flat {
                if node.name < other.name {
                    exchanges.push((to, Scope::Own, Scope::Own));
                }
            } else if !is_relay && node.plan.same_zone.contains(&other.name) {
                exchanges.push((to, Scope::Own, Scope::Others));
            } else if node.plan.same_zone.contains(&other.name) && initiates {
                exchanges.push((to, Scope::Own, Scope::Own));
            } else if node.plan.other_zones.contains(&other.name) && initiates {
                exchanges.push((to, Scope::Zone, Scope::Zone));
            } else if node.plan.standby.as_ref() == Some(&other.name)
                && node.rounds.is_multiple_of(STANDBY_INTERVAL)
            {
                exchanges.push((to, Scope::Own, Scope::Nothing));
            }
        }
        exchanges
    }

    fn batch(&mut self, index: usize, scope: Scope, to: Option<usize>) -> (u32, FactBatch) {
        let zone = self.nodes[index].zone.clone();
        let count = |is_included: &dyn Fn(usize) -> bool| {
            let others = (0..self.nodes.len()).filter(|other| *other != index);
            others.filter(|other| is_included(*other)).count() as u32 + 1
        };
        let is_same_zone = |other: usize| self.nodes[other].zone == zone;
        let (nodes, scope) = match scope {
            Scope::Nothing => return (1, FactBatch::default()),
            Scope::Own => (1, FactScope::Own),
            Scope::Zone => (
                count(&|other| is_same_zone(other) && self.is_live(index, other)),
                FactScope::Zone(zone.clone()),
            ),
            Scope::Others => (
                count(&|other| !is_same_zone(other) || self.is_live(index, other)),
                FactScope::Others(self.nodes[to.unwrap()].incarnation),
            ),
        };
        let receiver = to.map(|to| self.nodes[to].incarnation);
        let (now, budget) = (self.now, self.options.budget);
        let Node { facts, incarnation, .. } = &mut self.nodes[index];
        if let Some(ways) = &mut self.ways {
            ways.note(now, *incarnation, facts, &scope, receiver);
        }
        let batch = match receiver {
            Some(receiver) => facts.batch_to(now, &scope, receiver, budget),
            None => facts.batch(now, &scope, budget),
        };
        assert!(batch.as_bytes().len() <= budget, "a batch of {} bytes", batch.as_bytes().len());
        (nodes, batch)
    }

    fn send(&mut self, message: Message) {
        self.bytes[message.from] += message.batch.as_bytes().len();
        let copies = if self.rng.random_bool(self.options.repeats) { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_bool(self.options.loss) {
                continue;
            }
            let delay = self.rng.random_range(1..=self.options.max_delay_ms);
            self.post(Duration::from_millis(delay), Event::Arrival(message.clone()));
        }
    }

    fn arrive(&mut self, message: Message) {
        let Message { from, sender, to, scope, reply_scope, nodes, batch, is_reply } = message;
        let is_cut = self.isolated.contains(&from) != self.isolated.contains(&to);
        let is_current = self.nodes[from].incarnation == sender;
        if is_cut || !self.nodes[to].is_running || !is_current {
            return;
        }
        let now = self.now;
        if !is_reply && reply_scope == Scope::Others {
            self.nodes[to].contacted_at = Some(now);
        }
        let zone = self.nodes[from].zone.clone();
        let node = &mut self.nodes[to];
        let peer = node.peers.entry(from).or_default();
        (peer.received_at, peer.unanswered_since) = (Some(now), None);
        if scope != Scope::Nothing {
            if node.is_source(now, scope, sender, &zone, nodes) {
                let scope = match scope {
                    Scope::Zone => FactScope::Zone(zone),
                    Scope::Others => FactScope::Others(node.incarnation),
                    Scope::Own | Scope::Nothing => FactScope::Own,
                };
                node.facts.receive(now, sender, scope, &batch).unwrap();
            } else {
                node.facts.receive_acknowledgements(now, sender, &batch);
            }
        }
        if is_reply || !self.nodes[from].is_running {
            return;
        }
        let (nodes, batch) = self.batch(to, reply_scope, Some(from));
        let sender = self.nodes[to].incarnation;
        let reply_scope_of_reply = Scope::Nothing;
        self.send(Message {
            from: to,
            sender,
            to: from,
            scope: reply_scope,
            reply_scope: reply_scope_of_reply,
            nodes,
            batch,
            is_reply: true,
        });
    }

    /// Returns the number of nodes that run.
    pub fn running(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_running).count()
    }

    /// Returns the sum of a subject over nodes as each running node knows it, with the number of nodes.
    pub fn merged(&self, kind: FactKindId, subject: &str) -> Vec<(f64, u32)> {
        let running = self.nodes.iter().filter(|node| node.is_running);
        let merged = running.map(|node| {
            let merged = node.facts.merged(self.now, kind, subject);
            merged.map_or((0.0, 0), |merged| (merged.value.number(0), merged.nodes))
        });
        merged.collect()
    }
}
