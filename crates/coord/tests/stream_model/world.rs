//! The nodes, servers and callers of a model.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bulrushhall_coord::streams::{
    Found, ServiceVersions, StreamBatch, StreamCopies, StreamKey, StreamOrigin, StreamOrigins,
    asked_nodes,
};
use bulrushhall_core::{ServiceName, Stamp};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    network::{HANDLING, LATENCY, bytes},
    outcome::Outcome,
    way::Way,
};

/// One step of the model.
const STEP: Duration = Duration::from_millis(10);
/// How long copies are collected.
const FLUSH: Duration = Duration::from_millis(100);
/// The interval of digests.
const DIGEST: Duration = Duration::from_millis(250);
/// The bytes of a stream in a message.
const STREAM_BYTES: u64 = 12;
/// The bytes of an origin in a message, beside its version.
const ORIGIN_BYTES: usize = 30;
/// How many digests report a stream: some may be lost.
const REPEATED: u64 = 2;
/// How long a stream may be resumed after its begin.
const LIFETIME: Duration = Duration::from_secs(12);
/// How long a node that does not answer is waited for.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// After which time other nodes know that a node is dead.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long a server's start takes to be known at each node, at most.
const MAX_WATCH: Duration = Duration::from_millis(300);

/// `WorldOptions` are what is played.
#[derive(Clone, Copy, Debug)]
pub struct WorldOptions {
    pub way: Way,
    pub nodes: usize,
    pub servers: usize,
    /// The streams that begin in a second, over all nodes.
    pub streams_per_s: f64,
    pub length: Duration,
    /// Whether all nodes are killed at once in the middle.
    pub kills_all: bool,
    /// Whether servers of a second version come.
    pub has_versions: bool,
}

impl Default for WorldOptions {
    fn default() -> Self {
        WorldOptions {
            way: Way::Copies,
            nodes: 5,
            servers: 12,
            streams_per_s: 60.0,
            length: Duration::from_secs(40),
            kills_all: false,
            has_versions: true,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Up,
    /// Killed, or cut off, since a moment.
    Down(Stamp),
}

struct Node {
    hash: u64,
    life: Life,
    /// Cut off from the other nodes; callers reach it.
    cut_until: Stamp,
    origins: StreamOrigins,
    copies: StreamCopies,
    versions: ServiceVersions,
    /// The versions of the servers that it knows.
    known: BTreeMap<usize, String>,
    reported: Vec<(StreamKey, StreamOrigin, u64)>,
    /// When it got the last digest of each node.
    received: Vec<Stamp>,
}

struct Server {
    version: String,
    alive: bool,
    /// When each node learns of its start or end.
    learned: Vec<Stamp>,
}

/// A stream as its caller sees it.
struct Stream {
    id: String,
    node: usize,
    server: usize,
    /// The versions whose events it holds.
    /// The version of the first one.
    began: String,
    held: BTreeSet<String>,
    ends: Stamp,
    returns: u32,
}

/// A model of nodes, servers and callers.
pub struct World {
    options: WorldOptions,
    random: Pcg64,
    now: Stamp,
    service: ServiceName,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    streams: Vec<Stream>,
    next: u64,
    next_version: u32,
    outcome: Outcome,
}

impl World {
    /// Plays a seed and returns what was seen.
    pub fn play(seed: u64, options: WorldOptions) -> Outcome {
        let mut world = World {
            options,
            random: Pcg64::seed_from_u64(seed),
            now: Stamp::from_millis(1_000_000),
            service: ServiceName::new("engines").expect("a name"),
            nodes: Vec::new(),
            servers: Vec::new(),
            streams: Vec::new(),
            next: 0,
            next_version: 1,
            outcome: Outcome::default(),
        };
        for number in 0..options.nodes {
            let node = world.new_node(number, ServiceVersions::at_first_start());
            world.nodes.push(node);
        }
        for _ in 0..options.servers {
            world.start_server("v1".to_owned(), Duration::ZERO);
        }
        world.run();
        world.outcome
    }

    fn new_node(&self, number: usize, versions: ServiceVersions) -> Node {
        Node {
            hash: xxh3_64(format!("node-{number}").as_bytes()),
            life: Life::Up,
            cut_until: Stamp(0),
            origins: StreamOrigins::default(),
            copies: StreamCopies::default(),
            versions,
            known: BTreeMap::new(),
            reported: Vec::new(),
            received: vec![self.now; self.options.nodes],
        }
    }

    fn start_server(&mut self, version: String, max_watch: Duration) {
        let delay = |random: &mut Pcg64| max_watch.mul_f64(random.random_range(0.0..=1.0));
        let learned = (0..self.options.nodes).map(|_| self.now + delay(&mut self.random));
        let server = Server { version, alive: true, learned: learned.collect() };
        self.servers.push(server);
    }

    fn run(&mut self) {
        let end = self.now + self.options.length;
        let middle = self.now + self.options.length / 2;
        let mut has_killed = !self.options.kills_all;
        let mut last_flush = self.now;
        let mut last_digest = self.now;
        while self.now < end {
            self.now = self.now + STEP;
            self.act();
            if !has_killed && middle <= self.now {
                has_killed = true;
                (0..self.nodes.len()).for_each(|node| self.kill(node));
            }
            self.restart_nodes();
            self.learn();
            self.begin_streams();
            if FLUSH <= self.now.since(last_flush) {
                last_flush = self.now;
                self.flush();
            }
            if DIGEST <= self.now.since(last_digest) {
                last_digest = self.now;
                self.exchange_digests();
            }
            self.end_streams();
        }
    }

    // Draws the faults of one step.
    fn act(&mut self) {
        let steps_per_s = 1.0 / STEP.as_secs_f64();
        let mut happens = |per_s: f64| self.random.random_bool(per_s / steps_per_s);
        let (crash, replace) = (happens(0.4), happens(0.5));
        let (kill, cut) = (happens(0.15), happens(0.08));
        if crash {
            self.end_server();
        }
        let serving = self.servers.iter().filter(|server| server.alive).count();
        if replace || serving < self.options.servers {
            let is_new = self.options.has_versions && self.random.random_bool(0.4);
            if is_new && self.next_version < 4 {
                self.next_version += 1;
            }
            let oldest =
                if self.options.has_versions { self.random.random_bool(0.5) } else { true };
            let version = if oldest { 1 } else { self.next_version };
            self.start_server(format!("v{version}"), MAX_WATCH);
            if self.options.servers < serving {
                self.end_server();
            }
        }
        if kill {
            let node = self.random.random_range(0..self.nodes.len());
            self.kill(node);
        }
        if cut {
            let node = self.random.random_range(0..self.nodes.len());
            let lasts = Duration::from_secs_f64(self.random.random_range(0.5..4.0));
            self.nodes[node].cut_until = self.now + lasts;
        }
    }

    // A server crashes; its streams go on at the node, or their callers return.
    fn end_server(&mut self) {
        let alive: Vec<usize> =
            (0..self.servers.len()).filter(|server| self.servers[*server].alive).collect();
        let Some(server) = alive.choose(&mut self.random).copied() else { return };
        self.servers[server].alive = false;
        for stream in 0..self.streams.len() {
            if self.streams[stream].server != server {
                continue;
            }
            // Half of them go on within the answer, at the version of their first event.
            if self.random.random_bool(0.5) {
                self.resume_in_answer(stream);
            } else {
                self.return_to_any(stream);
            }
        }
    }

    fn resume_in_answer(&mut self, stream: usize) {
        let node = self.streams[stream].node;
        let began = self.streams[stream].began.clone();
        let bound = self.options.way != Way::Unknown;
        let candidates = self.candidates(node, bound.then_some(began.as_str()));
        match candidates.choose(&mut self.random).copied() {
            Some(server) => self.pass_events(stream, server),
            None => self.streams[stream].ends = self.now,
        }
    }

    fn pass_events(&mut self, stream: usize, server: usize) {
        let version = self.servers[server].version.clone();
        let held = &mut self.streams[stream];
        held.server = server;
        if held.held.insert(version) && 1 < held.held.len() {
            self.outcome.joined += 1;
        }
    }

    fn candidates(&self, node: usize, version: Option<&str>) -> Vec<usize> {
        let known = self.nodes[node].known.iter();
        let fits = |server: usize, of: &str| {
            self.servers[server].alive && version.is_none_or(|version| version == of)
        };
        known.filter(|(server, of)| fits(**server, of)).map(|(server, _)| *server).collect()
    }

    fn kill(&mut self, node: usize) {
        if self.nodes[node].life != Life::Up {
            return;
        }
        self.nodes[node].life = Life::Down(self.now);
        for stream in 0..self.streams.len() {
            if self.streams[stream].node == node {
                self.return_to_any(stream);
            }
        }
    }

    fn restart_nodes(&mut self) {
        for number in 0..self.nodes.len() {
            let Life::Down(since) = self.nodes[number].life else { continue };
            if Duration::from_millis(1_500) <= self.now.since(since) {
                self.nodes[number] = self.new_node(number, ServiceVersions::default());
            }
        }
    }

    fn learn(&mut self) {
        for number in 0..self.nodes.len() {
            let is_cut = self.is_cut(number);
            for (server, it) in self.servers.iter().enumerate() {
                let node = &mut self.nodes[number];
                if is_cut || self.now < it.learned[number] {
                    continue;
                }
                if it.alive {
                    node.known.insert(server, it.version.clone());
                } else {
                    node.known.remove(&server);
                }
            }
            let node = &mut self.nodes[number];
            let versions: BTreeSet<String> = node.known.values().cloned().collect();
            for version in versions {
                node.versions.note(self.now, &self.service, &version);
            }
        }
        self.note_touch();
    }

    // A node is out of touch with those whose digests it did not get for too long.
    fn note_touch(&mut self) {
        let now = self.now;
        for node in &mut self.nodes {
            if node.received.iter().any(|at| HEARTBEAT <= now.since(*at)) {
                node.versions.note_out_of_touch(now);
            }
        }
    }

    fn is_cut(&self, node: usize) -> bool {
        self.now < self.nodes[node].cut_until
    }

    fn is_up(&self, node: usize) -> bool {
        self.nodes[node].life == Life::Up
    }

    // Whether one node takes another one for alive.
    fn seems_live(&self, of: usize) -> bool {
        match self.nodes[of].life {
            Life::Up => true,
            Life::Down(since) => self.now.since(since) < HEARTBEAT,
        }
    }

    fn begin_streams(&mut self) {
        let per_step = self.options.streams_per_s * STEP.as_secs_f64();
        let mut count = per_step.floor() as u32;
        count += u32::from(self.random.random_bool(per_step.fract()));
        for _ in 0..count {
            let node = self.random.random_range(0..self.nodes.len());
            if !self.is_up(node) {
                continue;
            }
            self.next += 1;
            let id = format!("stream-{}", self.next);
            let Some(server) = self.place_new(node, &id) else { continue };
            self.outcome.begun += 1;
            let lasts = Duration::from_secs_f64(self.random.random_range(0.5..5.0));
            let stream = Stream {
                id: id.clone(),
                node,
                server,
                began: self.servers[server].version.clone(),
                held: BTreeSet::from([self.servers[server].version.clone()]),
                ends: self.now + lasts,
                returns: 0,
            };
            self.streams.push(stream);
            self.note_begun(node, &id, server);
        }
    }

    fn place_new(&mut self, node: usize, id: &str) -> Option<usize> {
        let derived = (self.options.way == Way::Derived).then(|| self.derived(node, id)).flatten();
        let mut candidates = self.candidates(node, derived.as_deref());
        let settled = |server: &usize| {
            let version = &self.servers[*server].version;
            self.nodes[node].versions.is_settled(self.now, &self.service, version)
        };
        let is_held = |server: &usize| {
            let version = &self.servers[*server].version;
            self.nodes[node].versions.held_for(self.now, &self.service, version).is_some()
        };
        if candidates.iter().any(settled) {
            candidates.retain(settled);
        } else {
            candidates.retain(|server| !is_held(server));
        }
        candidates.choose(&mut self.random).copied()
    }

    // The version that a hash of the id gives among the known ones, with as few changes as possible when one comes.
    fn derived(&self, node: usize, id: &str) -> Option<String> {
        let versions: BTreeSet<&String> = self.nodes[node].known.values().collect();
        let score = |version: &&&String| xxh3_64(format!("{id} {version}").as_bytes());
        versions.iter().max_by_key(score).map(|version| (*version).clone())
    }

    fn note_begun(&mut self, node: usize, id: &str, server: usize) {
        let key = StreamKey::new(None, id);
        let version = self.servers[server].version.clone();
        let origin = StreamOrigin { service: self.service.clone(), version };
        let it = &mut self.nodes[node];
        it.origins.note(self.now, LIFETIME, key, Some(&origin));
        match self.options.way {
            Way::Copies => it.copies.push(key),
            Way::Gossip => it.reported.push((key, origin, REPEATED)),
            Way::Unknown | Way::AskAll | Way::Derived => {}
        }
    }

    fn flush(&mut self) {
        for from in 0..self.nodes.len() {
            if !self.is_up(from) || self.nodes[from].copies.is_empty() {
                continue;
            }
            let others: Vec<u64> = self.others(from).map(|other| self.nodes[other].hash).collect();
            let (now, node) = (self.now, &mut self.nodes[from]);
            let deliveries = node.copies.take(now, &node.origins, &others);
            for (hash, delivery) in deliveries {
                let to = self.nodes.iter().position(|node| node.hash == hash).expect("a node");
                self.count_message(&delivery.batch);
                if self.reaches(from, to) {
                    self.store(to, &delivery.batch);
                } else {
                    self.nodes[from].copies.push_refused(&delivery, hash);
                }
            }
        }
    }

    fn count_message(&mut self, batch: &StreamBatch) {
        self.outcome.messages += 1;
        let body = rmp_bytes(batch);
        self.outcome.bytes += bytes(body);
    }

    fn store(&mut self, to: usize, batch: &StreamBatch) {
        for (key, origin) in batch.iter() {
            self.nodes[to].origins.note(self.now, LIFETIME, key, origin);
        }
    }

    fn others(&self, own: usize) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(move |other| *other != own && self.seems_live(*other))
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.is_up(to) && !self.is_cut(from) && !self.is_cut(to)
    }

    fn exchange_digests(&mut self) {
        for from in 0..self.nodes.len() {
            if !self.is_up(from) {
                continue;
            }
            let report = self.nodes[from].versions.report(self.now);
            let mut batch = StreamBatch::default();
            for (key, origin, left) in &mut self.nodes[from].reported {
                batch.push(*key, Some(origin), LIFETIME);
                *left -= 1;
            }
            self.nodes[from].reported.retain(|(_, _, left)| 0 < *left);
            for to in 0..self.nodes.len() {
                if from == to {
                    self.nodes[to].received[from] = self.now;
                }
                if from == to || !self.reaches(from, to) {
                    continue;
                }
                self.nodes[to].received[from] = self.now;
                if let Some(report) = &report {
                    self.nodes[to].versions.receive(self.now, report);
                }
                if !batch.streams.is_empty() {
                    self.outcome.bytes += batch.streams.len() as u64 * STREAM_BYTES;
                    self.store(to, &batch);
                }
            }
        }
    }

    fn end_streams(&mut self) {
        let now = self.now;
        self.streams.retain(|stream| now < stream.ends);
    }

    // The caller returns at once to any node that is up.
    fn return_to_any(&mut self, stream: usize) {
        let up: Vec<usize> = (0..self.nodes.len()).filter(|node| self.is_up(*node)).collect();
        let chosen = up.choose(&mut self.random).copied();
        self.streams[stream].returns += 1;
        let Some(node) = chosen.filter(|_| self.streams[stream].returns < 4) else {
            self.streams[stream].ends = self.now;
            return;
        };
        let began = self.streams[stream].began.clone();
        let is_served = 1 < self.candidates(node, Some(&began)).len();
        let version = self.find(node, stream);
        let bound = match (self.options.way, version) {
            (Way::Unknown, _) => None,
            (_, Some(version)) => Some(version),
            (_, None) => Some(String::new()),
        };
        let server = self.candidates(node, bound.as_deref()).choose(&mut self.random).copied();
        let stays = server.is_some_and(|server| self.servers[server].version == began);
        if is_served {
            self.outcome.returned += 1;
            self.outcome.gone_on += u32::from(stays);
        }
        self.streams[stream].node = node;
        match server {
            Some(server) => {
                self.pass_events(stream, server);
                let id = self.streams[stream].id.clone();
                self.note_begun(node, &id, server);
            }
            None => self.streams[stream].ends = self.now,
        }
    }

    fn find(&mut self, node: usize, stream: usize) -> Option<String> {
        let id = self.streams[stream].id.clone();
        let key = StreamKey::new(None, &id);
        if self.options.way == Way::Derived {
            return self.derived(node, &id);
        }
        match self.nodes[node].origins.find(self.now, key) {
            Some(Found::Origin(origin)) => return Some(origin.version),
            Some(Found::Ambiguous) => return None,
            None => {}
        }
        if let Some(only) = self.nodes[node].versions.only(self.now, &self.service, LIFETIME) {
            return Some(only.to_owned());
        }
        let others = self.others(node).map(|other| (self.nodes[other].hash, other));
        let asked = match self.options.way {
            Way::Copies => asked_nodes(key, others),
            Way::AskAll => others.map(|(_, other)| other).collect(),
            Way::Unknown | Way::Gossip | Way::Derived => return None,
        };
        self.ask(node, key, &asked)
    }

    fn ask(&mut self, node: usize, key: StreamKey, asked: &[usize]) -> Option<String> {
        let mut is_complete = true;
        let mut found = None;
        for other in asked {
            self.outcome.messages += 1;
            self.outcome.bytes += bytes(24);
            if !self.reaches(node, *other) {
                is_complete = false;
                continue;
            }
            if let Some(Found::Origin(origin)) = self.nodes[*other].origins.find(self.now, key) {
                found = Some(origin.version);
            }
        }
        let round_trip = (LATENCY + HANDLING) * 2;
        let took = if found.is_some() || is_complete { round_trip } else { ASK_TIMEOUT };
        self.outcome.added_ms += took.as_secs_f64() * 1_000.0;
        found
    }
}

fn rmp_bytes(batch: &StreamBatch) -> usize {
    let origins = batch.origins.iter().map(|origin| origin.version.len() + ORIGIN_BYTES);
    origins.sum::<usize>() + batch.streams.len() * STREAM_BYTES as usize
}
