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

/// How long a load that another node reported is valid: four digests at 250 ms may be lost or late.
const TOLD_FOR: Duration = Duration::from_millis(1_000);
/// The weight of a sample in the moving average of the slowness.
const SLOWNESS_STEP: f64 = 0.1;
/// The bounds of one sample: unpredicted queueing is no property of the server.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 3.0);

/// A `Backend` is one incarnation of a backend server.
#[derive(Debug)]
pub struct Backend {
    /// Its name, as in the key of its record.
    pub name: Arc<str>,
    /// A hash of its name, the same on all nodes.
    pub identity: u64,
    /// Its record.
    pub record: BackendRecord,
    /// The number of the last change of its record.
    pub changed_at: u64,
    /// Until when its record may be missing after an outage of the key-value service.
    pub missing_until: Option<Stamp>,
    /// Whether another server responded at its address.
    pub replaced: bool,
    /// The circuit breaker, which the outcomes of calls drive.
    pub circuit_breaker: CircuitBreaker,
    /// The prompt parts that its prefix cache presumably holds.
    pub parts: CachedParts,
    /// The prompt parts that this node recently sent to it.
    pub recent: RecentParts,
    /// The prompt parts that other nodes recently sent to it, as reported by themselves.
    pub recent_near: RecentParts,
    /// The prompt parts that other nodes recently sent to it, as reported by relays.
    pub recent_far: RecentParts,
    /// The moving average of the ratio between actual and predicted time to the first token.
    pub slowness: f64,
    /// The load of this node's requests there.
    pub own: Load,
    /// Its connections.
    pub pool: Arc<Pool>,
    told: HashMap<Incarnation, (Stamp, Load)>,
}

impl Backend {
    /// Returns a backend server of which only the record is known.
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

    /// Returns whether it accepts new work.
    pub fn is_open(&self) -> bool {
        self.record.state == BackendState::Ready && !self.replaced
    }

    /// Notes the load that another node reported.
    pub fn hear(&mut self, now: Stamp, node: Incarnation, load: Load) {
        // Each restart of a node has another incarnation; without this, entries would accumulate.
        self.told.retain(|_, (at, _)| now.since(*at) < TOLD_FOR);
        self.told.insert(node, (now, load));
    }

    /// Drops the load that a node reported.
    pub fn unhear(&mut self, node: Incarnation) {
        self.told.remove(&node);
    }

    /// Drops the loads that all other nodes reported.
    pub fn unhear_all(&mut self) {
        self.told.clear();
    }

    /// Returns the load of this node and of the other nodes for whose incarnations `counts` is true.
    pub fn load(&self, now: Stamp, counts: impl Fn(Incarnation) -> bool) -> Load {
        let mut sum = self.own;
        for (life, (at, load)) in &self.told {
            if now.since(*at) < TOLD_FOR && counts(*life) {
                sum = sum.plus(*load);
            }
        }
        sum
    }

    /// Returns the number of requests of all nodes there.
    pub fn requests(&self, now: Stamp) -> u32 {
        self.own.requests + self.heard(now).map(|load| load.requests).sum::<u32>()
    }

    /// Returns the waiting tokens of all nodes there with a priority at least as urgent as `rank`.
    pub fn waiting_before(&self, now: Stamp, rank: u8) -> u64 {
        let heard: u64 = self.heard(now).map(|load| load.waiting_before(rank)).sum();
        self.own.waiting_before(rank) + heard
    }

    /// Returns the tokens of all nodes' requests in its KV cache.
    pub fn held(&self, now: Stamp) -> u64 {
        let heard: u64 = self.heard(now).map(|load| u64::from(load.held)).sum();
        u64::from(self.own.held) + heard
    }

    /// Notes the predicted and the actual time to a first token.
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
