//! One backend server.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bulrushhall_core::{Incarnation, Stamp};
use bulrushhall_policy::{
    circuit_breaker::CircuitBreaker, parts::CachedParts, recent_parts::RecentParts,
};

use crate::{
    adapter::{BackendRecord, BackendState},
    backends::{Load, Pool},
};

/// How long another node's word on its load counts: four exchanges of 250 ms may be lost or late.
const TOLD_FOR: Duration = Duration::from_millis(1_000);
/// The part by which the slowness moves with each measured first token.
const SLOWNESS_STEP: f64 = 0.1;
/// The bounds of one measurement: queues that could not be foreseen are no property of the server.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 3.0);

/// A `Backend` is one life of a backend server.
#[derive(Debug)]
pub struct Backend {
    /// Its name, as it stands in the key of its record.
    pub name: Arc<str>,
    /// A hash of its name, the same on all nodes.
    pub identity: u64,
    /// Its record.
    pub record: BackendRecord,
    /// The number of the change of its record.
    pub changed_at: u64,
    /// Until when its record may be missing, since the key-value service was out of reach.
    pub missing_until: Option<Stamp>,
    /// Whether another server answered at its address.
    pub replaced: bool,
    /// What outcomes tell about it.
    pub circuit_breaker: CircuitBreaker,
    /// The parts of prompts that it is believed to keep.
    pub parts: CachedParts,
    /// The parts of prompts that this node sent there lately.
    pub recent: RecentParts,
    /// The parts of prompts that others sent there lately, as they told it themselves.
    pub recent_near: RecentParts,
    /// The parts of prompts that others sent there lately, as relays passed it on.
    pub recent_far: RecentParts,
    /// How many times the predicted time first tokens took lately.
    pub slowness: f64,
    /// What this node has running there.
    pub own: Load,
    /// Its connections.
    pub pool: Arc<Pool>,
    told: HashMap<Incarnation, (Stamp, Load)>,
}

impl Backend {
    /// Returns a backend server of which nothing but its record is known.
    pub fn new(name: &str, identity: u64, record: BackendRecord) -> Backend {
        Backend {
            name: name.into(),
            identity,
            pool: Arc::new(Pool::new(record.address)),
            record,
            changed_at: 0,
            missing_until: None,
            replaced: false,
            circuit_breaker: CircuitBreaker::default(),
            parts: CachedParts::default(),
            recent: RecentParts::default(),
            recent_near: RecentParts::default(),
            recent_far: RecentParts::default(),
            slowness: 1.0,
            own: Load::default(),
            told: HashMap::new(),
        }
    }

    /// Returns whether new work may be sent to it.
    pub fn is_open(&self) -> bool {
        self.record.state == BackendState::Ready && !self.replaced
    }

    /// Notes what another node has running there.
    pub fn hear(&mut self, now: Stamp, node: Incarnation, load: Load) {
        // Each restart of a node has a life of its own; without this they would pile up.
        self.told.retain(|_, (at, _)| now.since(*at) < TOLD_FOR);
        self.told.insert(node, (now, load));
    }

    /// Drops what a node told that has nothing running there any more.
    pub fn unhear(&mut self, node: Incarnation) {
        self.told.remove(&node);
    }

    /// Drops what all others told.
    pub fn unhear_all(&mut self) {
        self.told.clear();
    }

    /// Returns the load of this node and of those others for whose lives `counts` is true.
    pub fn load(&self, now: Stamp, counts: impl Fn(Incarnation) -> bool) -> Load {
        let mut sum = self.own;
        for (life, (at, load)) in &self.told {
            if now.since(*at) < TOLD_FOR && counts(*life) {
                sum = sum.plus(*load);
            }
        }
        sum
    }

    /// Returns the requests of all nodes there.
    pub fn requests(&self, now: Stamp) -> u32 {
        self.own.requests + self.heard(now).map(|load| load.requests).sum::<u32>()
    }

    /// Returns the waiting tokens of all nodes there that are at least as urgent as `rank`.
    pub fn waiting_before(&self, now: Stamp, rank: u8) -> u64 {
        let heard: u64 = self.heard(now).map(|load| load.waiting_before(rank)).sum();
        self.own.waiting_before(rank) + heard
    }

    /// Returns the tokens of all nodes in its memory.
    pub fn held(&self, now: Stamp) -> u64 {
        let heard: u64 = self.heard(now).map(|load| u64::from(load.held)).sum();
        u64::from(self.own.held) + heard
    }

    /// Notes how long a first token took against what was predicted.
    pub fn note_first_token(&mut self, predicted: Duration, took: Duration) {
        let predicted = predicted.as_secs_f64().max(0.02);
        let (least, most) = SLOWNESS_BOUNDS;
        let seen = (took.as_secs_f64() / predicted).clamp(least, most);
        self.slowness += (seen - self.slowness) * SLOWNESS_STEP;
    }

    fn heard(&self, now: Stamp) -> impl Iterator<Item = &Load> {
        let fresh = self.told.values().filter(move |(at, _)| now.since(*at) < TOLD_FOR);
        fresh.map(|(_, load)| load)
    }
}
