//! A simulation of nodes before servers that crash: under prompt parts, with a lost zone, by chance, or only as one node sees it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bulrushhall_coord::crashes::{
    Block, BlockKind, Confidence, CrashReport, CrashRun, CrashWatch, CrashedRequest, CrashedServer,
    EvidenceOptions, Judge, PartId, PartTally, ProbeSchedule, ServerEnd, SoundReport,
};
use bulrushhall_core::{Incarnation, Stamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// The step of the simulation.
const STEP: Duration = Duration::from_millis(10);
/// The time that a crashed server is away.
const DOWN_TIME: Duration = Duration::from_secs(5);
/// The time from the first token of an answer to the crash that it causes.
const CRASH_AFTER: Duration = Duration::from_millis(60);
/// The time in which all nodes have to know a part, from the fifth crash under it on.
const CONTACT: Duration = Duration::from_millis(3_000);
/// The time after which an answer that is written was not broken off by a part of its prompt.
const BEGINNING: Duration = Duration::from_millis(2_000);
/// The crashes after which a part has to be known.
const KNOWN_AFTER: usize = 5;
/// The same for a request that is sent again and again.
const REQUEST_KNOWN_AFTER: usize = 3;
/// When requests with bad parts begin.
const BAD_FROM: Duration = Duration::from_secs(8);
/// The time between two digests.
const ROUND: Duration = Duration::from_millis(250);
/// The time after which blocks reach nodes by the key-value service.
const STORE_DELAY: Duration = Duration::from_millis(400);
/// The time that a digest takes.
const DELAY: Duration = Duration::from_millis(30);
/// The number of nodes from which digests go by way of a relay in each zone.
const RELAYED_FROM: usize = 25;
/// The zones of the nodes.
const ZONES: usize = 4;
/// The time that a killed node is away.
const NODE_DOWN: Duration = Duration::from_secs(2);
/// The routes, each with a first part of its own.
const ROUTES: u64 = 3;
/// The second parts of a route that are in use at a time.
const DOCUMENTS: u64 = 12;
/// The bytes of a digest's head and of one entry.
const HEAD_BYTES: usize = 12;
const CRASH_BYTES: usize = 40;
const PART_BYTES: usize = 9;
const SOUND_BYTES: usize = 26;
const BLOCK_BYTES: usize = 60;

/// How nodes find the parts under which servers crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// They do not.
    None,
    /// All nodes get all reports, and a part is blamed after five crashes since its last sound answer.
    CountedByAll,
    /// All nodes get all reports, and a part is blamed by its run of crashes, as the product does.
    RunByAll,
    /// One node gets the reports of a part, and blames it by its run of crashes.
    RunByOwner,
}

/// A `FixedCount` blames a part after a number of crashes since its last sound answer, whatever else is known.
struct FixedCount(u32);

impl Judge for FixedCount {
    fn blames(&self, tally: PartTally) -> Option<Confidence> {
        (self.0 <= tally.servers).then_some(Confidence::Certain)
    }
}

impl Way {
    fn judge(self) -> Box<dyn Judge> {
        match self {
            Way::CountedByAll => Box::new(FixedCount(5)),
            _ => Box::new(CrashRun::default()),
        }
    }

    fn is_by_owner(self) -> bool {
        self == Way::RunByOwner
    }
}

/// What happens in a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub nodes: usize,
    pub servers: usize,
    pub time: Duration,
    /// Sound requests a second.
    pub sound: f64,
    /// The parts that crash servers, and the requests a second with each.
    pub bad: (u64, f64),
    /// Whether they are the first parts of their prompts, with second parts that sound prompts have too.
    pub bad_first: bool,
    /// Second parts that are replaced by new ones, a second.
    pub new_documents: f64,
    /// The time between two losses of a quarter of all servers.
    pub zone_losses: Option<Duration>,
    /// Servers that fall by themselves, a second.
    pub falls: f64,
    /// The time between two cuts of a node from half of the servers, which looks to it as if these had crashed.
    pub cuts: Option<Duration>,
    /// The time between two kills of a node.
    pub kills: Option<Duration>,
    /// When all nodes are killed at once.
    pub all_killed_at: Option<Duration>,
    /// The requests with a bad part that are sent at once.
    pub burst: usize,
    /// Whether each request with a bad part has two of them.
    pub pairs: bool,
    /// The share of the crashes under bad parts that no node sees, as behind a cut or after its caller has left.
    pub unseen: f64,
    /// The share of sound answers that servers break off and live on.
    pub broken: f64,
    /// Whether a server starts again under its name before its record tells so.
    pub same_names: bool,
    /// The share of digests that are lost.
    pub lost_digests: f64,
    /// The time between two cuts of a node from all other nodes and from the store, for four seconds.
    pub isolations: Option<Duration>,
    /// Whether blocks reach nodes by the store.
    pub store: StoreState,
    /// Whether bad parts were in sound prompts until they became bad.
    pub turned: bool,
    /// The requests a second with such a part before it becomes bad.
    pub turned_rate: f64,
    /// The time between two losses of all servers.
    pub all_lost: Option<Duration>,
    /// How often a request is sent whose answer a crash breaks off.
    pub sends: u32,
    /// The longest time for which a server writes an answer, in milliseconds.
    pub writes_ms: u64,
    /// The pause between two sends of one request that crashes servers; none if there is no such request.
    pub repeated: Option<Duration>,
    /// The sound requests that all callers send, among all sound ones.
    pub popular: f64,
}

/// Whether the key-value service works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreState {
    Up,
    Away,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            nodes: 5,
            servers: 18,
            time: Duration::from_secs(60),
            sound: 60.0,
            bad: (1, 2.0),
            bad_first: false,
            new_documents: 0.5,
            zone_losses: None,
            falls: 0.02,
            cuts: None,
            kills: None,
            all_killed_at: None,
            burst: 1,
            pairs: false,
            unseen: 0.0,
            broken: 0.0,
            same_names: false,
            lost_digests: 0.02,
            isolations: None,
            store: StoreState::Up,
            turned: false,
            turned_rate: 4.0,
            all_lost: None,
            sends: 1,
            writes_ms: 1_500,
            repeated: None,
            popular: 0.2,
        }
    }
}

/// What was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// The most requests with one part that were sent too late.
    pub late: usize,
    /// Parts of which more than three were.
    pub parts_late: usize,
    /// Crashes under bad parts.
    pub crashes: usize,
    /// Sound requests, and those that were refused.
    pub sound: usize,
    pub refused: usize,
    /// The sound parts that were blocked by themselves.
    pub blamed: BTreeSet<u64>,
    /// The blocks of requests that were put in force.
    pub blocked_requests: usize,
    /// The bytes that a node sent a second, besides the digests of before.
    pub bytes: f64,
}

struct Request {
    node: usize,
    server: usize,
    life: u64,
    id: u64,
    parts: Vec<PartId>,
    digest: PartId,
    sent_at: Stamp,
    begins_at: Stamp,
    ends_at: Stamp,
    bad: Option<u64>,
    /// How often it was sent before.
    repeats: u32,
    /// Whether it was noted that its answer is written for long.
    has_progressed: bool,
}

/// A request that its caller sends again.
struct Repeat {
    at: Stamp,
    parts: Vec<PartId>,
    digest: PartId,
    bad: Option<u64>,
    repeats: u32,
}

struct Node {
    watch: CrashWatch,
    incarnation: Incarnation,
    up_at: Stamp,
    cut_from: BTreeSet<usize>,
    isolated_until: Stamp,
    phase: Duration,
}

enum Message {
    Digest { crashes: Vec<CrashReport>, sound: Vec<SoundReport>, blocks: Vec<Block> },
}

pub struct World {
    plan: Plan,
    way: Way,
    rng: Pcg64,
    began: Stamp,
    now: Stamp,
    nodes: Vec<Node>,
    /// The life of each server, and when it is back.
    servers: Vec<(u64, Stamp)>,
    running: Vec<Request>,
    repeats: Vec<Repeat>,
    messages: BTreeMap<(Stamp, u64), (usize, Message)>,
    store: BTreeMap<String, (Stamp, Block)>,
    documents: Vec<u64>,
    next: u64,
    bad_crashes: BTreeMap<u64, Vec<Stamp>>,
    bad_sends: BTreeMap<u64, Vec<(Stamp, usize)>>,
    sent_bytes: usize,
    seen: Seen,
}

/// Plays a plan.
pub fn play(plan: Plan, way: Way, seed: u64) -> Seen {
    World::new(plan, way, seed).run()
}

/// The digest of the request that is sent again and again, and its common parts.
const REPEATED: u64 = 0xdead;
const REPEATED_PARTS: [u64; 2] = [0xf1_0000, 0xd0_0000];
/// The requests that all callers send.
const POPULAR: u64 = 5;

/// Returns the number of a bad part.
pub fn bad_part(number: u64) -> u64 {
    0xbad_0000 + number
}

impl World {
    fn new(plan: Plan, way: Way, seed: u64) -> World {
        let mut world = World {
            plan,
            way,
            rng: Pcg64::seed_from_u64(seed),
            began: Stamp(0) + Duration::from_secs(10),
            now: Stamp(0) + Duration::from_secs(10),
            nodes: Vec::new(),
            servers: vec![(0, Stamp(0)); plan.servers],
            running: Vec::new(),
            repeats: Vec::new(),
            messages: BTreeMap::new(),
            store: BTreeMap::new(),
            documents: Vec::new(),
            next: 1,
            bad_crashes: BTreeMap::new(),
            bad_sends: BTreeMap::new(),
            sent_bytes: 0,
            seen: Seen::default(),
        };
        for number in 0..plan.nodes {
            let phase = ROUND * u32::try_from(number).expect("few")
                / u32::try_from(plan.nodes).expect("few");
            let node = world.new_node(phase);
            world.nodes.push(node);
        }
        for server in 0..plan.servers {
            world.servers[server].0 = world.number();
        }
        for _ in 0..ROUTES * DOCUMENTS {
            let document = world.number();
            world.documents.push(document);
        }
        world
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn new_node(&mut self, phase: Duration) -> Node {
        let incarnation = Incarnation(self.number());
        let options = EvidenceOptions::default();
        let mut watch = CrashWatch::new(options, self.way.judge(), ProbeSchedule::default());
        let stored: Vec<Block> = self.store.values().map(|(_, block)| block.clone()).collect();
        for block in stored {
            watch.receive(self.now, block);
        }
        Node {
            watch,
            incarnation,
            up_at: self.now,
            cut_from: BTreeSet::new(),
            isolated_until: Stamp(0),
            phase,
        }
    }

    fn run(mut self) -> Seen {
        let end = self.now + self.plan.time;
        let began = self.now;
        while self.now < end {
            self.now = self.now + STEP;
            let since = self.now.since(began);
            self.arrive(since);
            self.repeat();
            self.progress();
            self.disturb(since);
            self.deliver();
            for node in 0..self.nodes.len() {
                self.round(node, since);
            }
        }
        self.finish()
    }

    fn chance(&mut self, per_second: f64) -> bool {
        self.rng.random_bool((per_second * STEP.as_secs_f64()).min(1.0))
    }

    fn arrive(&mut self, since: Duration) {
        if self.chance(self.plan.new_documents) {
            let at = self.rng.random_range(0..self.documents.len());
            self.documents[at] = self.number();
        }
        if self.chance(self.plan.sound) {
            let (first, second) = self.sound_parts();
            self.seen.sound += 1;
            let number = self.number();
            let is_popular = self.rng.random_bool(self.plan.popular);
            let digest = if is_popular { 0xca11_0000 + number % POPULAR } else { number };
            self.send(vec![PartId(first), PartId(second)], digest, None);
        }
        if let Some(pause) = self.plan.repeated
            && BAD_FROM <= since
            && since.as_millis() % pause.as_millis() < STEP.as_millis()
        {
            self.send(REPEATED_PARTS.map(PartId).to_vec(), REPEATED, Some(REPEATED));
        }
        let (count, rate) = self.plan.bad;
        for number in 0..count {
            if since < BAD_FROM || !self.chance(rate) {
                continue;
            }
            let bad = bad_part(number);
            for _ in 0..self.plan.burst {
                let (first, second) = self.sound_parts();
                let mut parts = match (self.plan.bad_first, self.plan.pairs) {
                    (true, _) => vec![bad, second],
                    (false, false) => vec![first, bad],
                    (false, true) => vec![first, bad, bad_part((number + 1) % count)],
                };
                parts.dedup();
                let number = self.number();
                self.send(parts.into_iter().map(PartId).collect(), number, Some(bad));
            }
        }
        if self.plan.turned && since < BAD_FROM && self.chance(self.plan.turned_rate) {
            let (first, _) = self.sound_parts();
            let number = self.number();
            self.send([first, bad_part(0)].map(PartId).to_vec(), number, None);
        }
    }

    fn sound_parts(&mut self) -> (u64, u64) {
        let route = self.rng.random_range(0..ROUTES);
        let document = self.rng.random_range(0..DOCUMENTS);
        let at = usize::try_from(route * DOCUMENTS + document).expect("few");
        (0xf1_0000 + route, self.documents[at])
    }

    fn send(&mut self, parts: Vec<PartId>, digest: u64, bad: Option<u64>) {
        let digest = PartId(xxhash_rust::xxh3::xxh3_64(&digest.to_le_bytes()));
        let at = self.now;
        self.send_again(Repeat { at, parts, digest, bad, repeats: 0 });
    }

    fn repeat(&mut self) {
        let now = self.now;
        let (due, later) = self.repeats.drain(..).partition(|repeat| repeat.at <= now);
        self.repeats = later;
        let due: Vec<Repeat> = due;
        for repeat in due {
            self.send_again(repeat);
        }
    }

    fn send_again(&mut self, repeat: Repeat) {
        let Repeat { parts, digest, mut bad, repeats, .. } = repeat;
        let is_turned = self.began + BAD_FROM <= self.now && parts.contains(&PartId(bad_part(0)));
        if self.plan.turned && is_turned {
            bad = Some(bad_part(0));
        }
        let up: Vec<usize> = (0..self.nodes.len()).filter(|node| self.is_up(*node)).collect();
        if up.is_empty() {
            return;
        }
        let node = up[self.rng.random_range(0..up.len())];
        let ids = with_digest(&parts, digest);
        let cut_from = &self.nodes[node].cut_from;
        let free: Vec<usize> = (0..self.servers.len())
            .filter(|server| self.servers[*server].1 <= self.now && !cut_from.contains(server))
            .collect();
        let is_blocked = self.nodes[node].watch.blocks.matching(&ids).is_some();
        if self.way != Way::None && is_blocked && (free.is_empty() || !self.claim_probe(node, &ids))
        {
            self.seen.refused += usize::from(bad.is_none());
            return;
        }
        if free.is_empty() {
            return;
        }
        let server = free[self.rng.random_range(0..free.len())];
        let begins_at = self.now + Duration::from_millis(self.rng.random_range(40..500));
        let writes = Duration::from_millis(self.rng.random_range(300..self.plan.writes_ms));
        if let Some(bad) = bad {
            let Node { up_at: up_since, isolated_until, .. } = self.nodes[node];
            let is_of_start = up_since == Stamp(0) + Duration::from_secs(10);
            let is_in_touch = isolated_until + CONTACT <= self.now
                && (is_of_start || CONTACT <= self.now.since(up_since));
            if is_in_touch {
                self.bad_sends.entry(bad).or_default().push((self.now, node));
            }
        }
        let life = self.servers[server].0;
        let id = self.number();
        let (sent_at, ends_at) = (self.now, begins_at + writes);
        self.running.push(Request {
            node,
            server,
            life,
            id,
            parts,
            digest,
            sent_at,
            begins_at,
            ends_at,
            bad,
            repeats,
            has_progressed: false,
        });
    }

    // Returns whether a node may let a blocked request through.
    fn claim_probe(&mut self, node: usize, ids: &[PartId]) -> bool {
        let (now, blocks) = (self.now, &self.nodes[node].watch.blocks);
        let Some(claim) = blocks.due_probe_for(now, ids) else { return false };
        let stored = self.store.get(&claim.name());
        let is_next = stored.is_some_and(|(_, stored)| {
            (stored.generation, stored.probes + 1) == (claim.generation, claim.probes)
        });
        if !is_next || self.plan.store == StoreState::Away || self.is_isolated(node) {
            return false;
        }
        self.store.insert(claim.name(), (now, claim.clone()));
        self.nodes[node].watch.receive(now, claim.clone());
        for other in 0..self.nodes.len() {
            if !self.is_isolated(other) {
                let blocks = vec![claim.clone()];
                let message = Message::Digest { crashes: vec![], sound: vec![], blocks };
                self.post(other, STORE_DELAY, message);
            }
        }
        true
    }

    fn is_isolated(&self, node: usize) -> bool {
        self.now < self.nodes[node].isolated_until
    }

    fn is_up(&self, node: usize) -> bool {
        self.nodes[node].up_at <= self.now
    }

    fn progress(&mut self) {
        let mut crashed = Vec::new();
        for req in &self.running {
            if req.bad.is_some() && req.begins_at + CRASH_AFTER <= self.now {
                crashed.push((req.server, req.bad));
            }
        }
        for (server, bad) in crashed {
            if self.servers[server].1 <= self.now {
                let at = self.now;
                self.bad_crashes.entry(bad.expect("bad")).or_default().push(at);
                self.seen.crashes += 1;
                let (unseen, life) = (self.plan.unseen, self.servers[server].0);
                if 0.0 < unseen && self.rng.random_bool(unseen) {
                    self.running.retain(|req| req.life != life || req.bad.is_none());
                }
                self.crash(server);
            }
        }
        let (now, mut ended) = (self.now, Vec::new());
        self.running.retain(|req| {
            if now < req.ends_at {
                return true;
            }
            ended.push((req.node, req.begins_at, with_digest(&req.parts, req.digest)));
            false
        });
        for req in &mut self.running {
            if req.has_progressed || now < req.begins_at + BEGINNING {
                continue;
            }
            req.has_progressed = true;
            let Node { watch, .. } = &mut self.nodes[req.node];
            if let Some(blocked) = watch.note_progress(now, req.begins_at, &req.parts) {
                watch.lift(now, &blocked);
            }
        }
        for (node, begun_at, parts) in ended {
            let Node { watch, .. } = &mut self.nodes[node];
            if let Some(blocked) = watch.note_sound(now, begun_at, &parts) {
                watch.lift(now, &blocked);
            }
        }
    }

    fn crash(&mut self, server: usize) {
        self.break_answers(ServerEnd::Seen, |req| req.server == server);
        let life = if self.plan.same_names { self.servers[server].0 } else { self.number() };
        self.servers[server] = (life, self.now + DOWN_TIME);
    }

    // Each node notes the requests that were broken off, by server.
    fn break_answers(&mut self, end: ServerEnd, is_broken: impl Fn(&Request) -> bool) {
        let mut broken: BTreeMap<(usize, u64), Vec<CrashedRequest>> = BTreeMap::new();
        let now = self.now;
        let Self { running, repeats, plan, .. } = self;
        running.retain(|req| {
            if !is_broken(req) {
                return true;
            }
            if req.repeats + 1 < plan.sends {
                let pause = Duration::from_millis(if req.repeats % 2 == 0 { 60 } else { 250 });
                let Request { digest, bad, .. } = *req;
                let (at, parts) = (now + pause, req.parts.clone());
                repeats.push(Repeat { at, parts, digest, bad, repeats: req.repeats + 1 });
            }
            let age_ms = u64::try_from(now.since(req.sent_at).as_millis()).expect("short");
            let begun = (req.begins_at <= now).then(|| now.since(req.begins_at));
            let begun_ms = begun.map(|begun| u64::try_from(begun.as_millis()).expect("short"));
            let is_beginning = begun.is_none_or(|begun| begun < BEGINNING);
            let parts = if is_beginning { req.parts.clone() } else { Vec::new() };
            let request = req.id;
            // A server that lives on is seen to answer later requests.
            let digest = (end == ServerEnd::Seen || plan.same_names).then_some(req.digest);
            let crashed = CrashedRequest { request, age_ms, begun_ms, parts, digest };
            broken.entry((req.node, req.life)).or_default().push(crashed);
            false
        });
        for ((node, life), requests) in broken {
            let Node { watch, incarnation, .. } = &mut self.nodes[node];
            let crashed = CrashedServer { server: life, end, at: now };
            watch.note_crash(now, *incarnation, crashed, requests);
            if self.way != Way::None {
                self.judge(node);
            }
        }
    }

    fn disturb(&mut self, since: Duration) {
        let is_due = |every: Option<Duration>| {
            every.is_some_and(|every| since.as_millis() % every.as_millis() < STEP.as_millis())
        };
        if self.chance(self.plan.falls) {
            let server = self.rng.random_range(0..self.servers.len());
            if self.servers[server].1 <= self.now {
                self.crash(server);
            }
        }
        if is_due(self.plan.zone_losses) {
            let zone = self.rng.random_range(0..4);
            for server in (0..self.servers.len()).filter(|server| server % 4 == zone) {
                if self.servers[server].1 <= self.now {
                    self.crash(server);
                }
            }
        }
        if is_due(self.plan.all_lost) {
            for server in 0..self.servers.len() {
                if self.servers[server].1 <= self.now {
                    self.crash(server);
                }
            }
        }
        if is_due(self.plan.cuts) {
            let node = self.rng.random_range(0..self.nodes.len());
            let cut: BTreeSet<usize> =
                (0..self.servers.len()).filter(|server| server % 2 == 0).collect();
            let is_cut = |req: &Request| req.node == node && cut.contains(&req.server);
            self.break_answers(ServerEnd::Unknown, is_cut);
            self.nodes.iter_mut().for_each(|node| node.cut_from.clear());
            self.nodes[node].cut_from = cut;
        }
        if is_due(self.plan.kills) {
            let node = self.rng.random_range(0..self.nodes.len());
            self.kill(node);
        }
        if is_due(self.plan.isolations) {
            let node = self.rng.random_range(0..self.nodes.len());
            self.nodes[node].isolated_until = self.now + Duration::from_secs(4);
        }
        let broken: Vec<u64> = self.running.iter().map(|req| req.id).collect();
        for id in broken {
            // An answer takes about a second.
            if 0.0 < self.plan.broken && self.chance(self.plan.broken) {
                self.break_answers(ServerEnd::Unknown, |req| req.id == id && req.bad.is_none());
            }
        }
        let is_all = self.plan.all_killed_at.is_some_and(|at| at <= since && since < at + STEP);
        if is_all {
            (0..self.nodes.len()).for_each(|node| self.kill(node));
        }
    }

    fn kill(&mut self, node: usize) {
        let phase = self.nodes[node].phase;
        let fresh = self.new_node(phase);
        self.nodes[node] = Node { up_at: self.now + NODE_DOWN, ..fresh };
        self.running.retain(|req| req.node != node);
        self.messages.retain(|_, (to, _)| *to != node);
        // It reads the records of blocks when it starts.
        let blocks: Vec<Block> = self.store.values().map(|(_, block)| block.clone()).collect();
        for block in blocks {
            let message = Message::Digest { crashes: vec![], sound: vec![], blocks: vec![block] };
            self.post(node, NODE_DOWN, message);
        }
    }

    fn post(&mut self, to: usize, delay: Duration, message: Message) {
        let number = self.number();
        self.messages.insert((self.now + delay, number), (to, message));
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if self.now < entry.key().0 {
                return;
            }
            let (to, Message::Digest { crashes, sound, blocks }) = entry.remove();
            let now = self.now;
            let watch = &mut self.nodes[to].watch;
            for report in crashes {
                watch.evidence.receive(now, report);
            }
            for report in sound {
                watch.evidence.receive_sound(now, report);
            }
            for block in blocks {
                watch.receive(now, block);
            }
        }
    }

    fn round(&mut self, node: usize, since: Duration) {
        let phase = (since + self.nodes[node].phase).as_millis() % ROUND.as_millis();
        if self.way == Way::None || !self.is_up(node) || STEP.as_millis() <= phase {
            return;
        }
        let now = self.now;
        self.judge(node);
        let Node { watch, .. } = &self.nodes[node];
        let (crashes, sound) = (watch.evidence.reports(now), watch.evidence.sound_reports(now));
        let (mark, blocks) =
            (watch.blocks.mark(), watch.blocks.iter().cloned().collect::<Vec<_>>());
        for other in self.peers(node) {
            self.sent_bytes += HEAD_BYTES;
            let (crashes, sound) = self.addressed(other, &crashes, &sound);
            self.sent_bytes += size(&crashes) + sound.len() * SOUND_BYTES;
            let is_lost = self.rng.random_bool(self.plan.lost_digests)
                || self.is_isolated(node)
                || self.is_isolated(other);
            let is_behind = self.nodes[other].watch.blocks.mark() != mark;
            let blocks = if is_behind { blocks.clone() } else { Vec::new() };
            if is_lost || (crashes.is_empty() && sound.is_empty() && blocks.is_empty()) {
                continue;
            }
            self.sent_bytes += blocks.len() * BLOCK_BYTES;
            self.post(other, DELAY, Message::Digest { crashes, sound, blocks });
        }
    }

    fn judge(&mut self, node: usize) {
        let now = self.now;
        let Node { watch, incarnation, .. } = &mut self.nodes[node];
        for block in watch.plan(now, *incarnation, 0) {
            self.note_blamed(&block);
            self.store.insert(block.name(), (now, block.clone()));
            for other in 0..self.nodes.len() {
                let message =
                    Message::Digest { crashes: vec![], sound: vec![], blocks: vec![block.clone()] };
                self.sent_bytes += BLOCK_BYTES;
                if self.plan.store == StoreState::Up
                    && !self.is_isolated(other)
                    && !self.is_isolated(node)
                {
                    self.post(other, STORE_DELAY, message);
                }
            }
        }
    }

    // Returns the nodes to which a node sends digests: all of them, or the relay of its zone and, from there, the others of the
    // zone and the other relays. The owner of a part is addressed by itself.
    fn peers(&self, node: usize) -> Vec<usize> {
        let up = |other: &usize| *other != node && self.is_up(*other);
        let all = (0..self.nodes.len()).filter(up);
        if self.nodes.len() < RELAYED_FROM || self.way.is_by_owner() {
            return all.collect();
        }
        let relay = |zone: usize| {
            (0..self.nodes.len()).find(|other| self.is_up(*other) && other % ZONES == zone)
        };
        let own = relay(node % ZONES);
        if own != Some(node) {
            return own.into_iter().collect();
        }
        all.filter(|other| other % ZONES == node % ZONES || relay(other % ZONES) == Some(*other))
            .collect()
    }

    // Returns what one node gets of the reports: all of them, or those of the parts that it owns.
    fn addressed(
        &self,
        to: usize,
        crashes: &[CrashReport],
        sound: &[SoundReport],
    ) -> (Vec<CrashReport>, Vec<SoundReport>) {
        if !self.way.is_by_owner() {
            return (crashes.to_vec(), sound.to_vec());
        }
        let owns = |part: &PartId| {
            let up = (0..self.nodes.len()).filter(|node| self.is_up(*node));
            let score = |node: usize| {
                xxhash_rust::xxh3::xxh3_64_with_seed(&part.0.to_le_bytes(), node as u64)
            };
            up.max_by_key(|node| score(*node)) == Some(to)
        };
        let mut owned = Vec::new();
        for report in crashes {
            let mut report = report.clone();
            for req in &mut report.requests {
                req.parts.retain(owns);
                req.digest = req.digest.filter(owns);
            }
            report.requests.retain(|req| !req.parts.is_empty() || req.digest.is_some());
            if !report.requests.is_empty() {
                owned.push(report);
            }
        }
        (owned, sound.iter().filter(|report| owns(&report.part)).copied().collect())
    }

    fn note_blamed(&mut self, block: &Block) {
        let mut bad: BTreeSet<u64> = (0..self.plan.bad.0).map(bad_part).collect();
        bad.insert(xxhash_rust::xxh3::xxh3_64(&REPEATED.to_le_bytes()));
        self.seen.blocked_requests += usize::from(block.kind == BlockKind::Request);
        if block.generation == 1 && block.parts.0.iter().all(|part| !bad.contains(&part.0)) {
            self.seen.blamed.extend(block.parts.0.iter().map(|part| part.0));
        }
    }

    fn finish(mut self) -> Seen {
        for (bad, crashes) in &self.bad_crashes {
            let known_after = if *bad == REPEATED { REQUEST_KNOWN_AFTER } else { KNOWN_AFTER };
            let Some(last) = crashes.get(known_after - 1) else { continue };
            let sends = self.bad_sends.get(bad).into_iter().flatten();
            let late = sends.filter(|(at, _)| *last + CONTACT < *at).count();
            self.seen.late = self.seen.late.max(late);
            self.seen.parts_late += usize::from(3 < late);
        }
        let seconds = self.plan.time.as_secs_f64();
        self.seen.bytes = self.sent_bytes as f64 / seconds / self.nodes.len() as f64;
        self.seen
    }
}

fn with_digest(parts: &[PartId], digest: PartId) -> Vec<PartId> {
    parts.iter().copied().chain([digest]).collect()
}

fn size(crashes: &[CrashReport]) -> usize {
    let mut bytes = 0;
    for report in crashes {
        let parts: usize =
            report.requests.iter().map(|req| 12 + req.ids().len() * PART_BYTES).sum();
        bytes += CRASH_BYTES + parts;
    }
    bytes
}
