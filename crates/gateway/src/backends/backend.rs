//! One backend server.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bulrushhall_core::{Incarnation, Stamp};
use bulrushhall_policy::{
    circuit_breaker::CircuitBreaker, parts::CachedParts, recent_parts::RecentParts,
};

use crate::{
    adapter::{BackendRecord, BackendState},
    backends::{Announced, BackendSpeed, Load, Pool, ServerRoom},
    speed_settings::SpeedSource,
    status::RecentSum,
};

/// How long a load that another node reported is valid: four digests at 250 ms may be lost or late.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long other nodes are told that a record says that its server is leaving. The watch of a node whose connection to the
/// key-value service became silent ends 2.9 s after it began, and a server may get requests for 3 s.
const LEAVING_REPORTED_FOR: Duration = Duration::from_secs(4);
/// The weight of a sample in the moving average of a node's own first tokens.
const SLOWNESS_WEIGHT: f64 = 0.1;
/// The bounds of one sample: an outlier, for example from unpredicted queueing, is not a property of the
/// server.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 3.0);

/// A `Backend` is one incarnation of a backend server.
#[derive(Debug)]
pub struct Backend {
    /// Its name, as in the key of its record.
    pub name: Arc<str>,
    /// The subject of facts about this incarnation: its name and start time.
    pub fact_subject: Arc<str>,
    /// A hash of its name, the same on all nodes.
    pub identity: u64,
    /// When this node first knew of it.
    pub known_since: Stamp,
    /// Its record.
    pub record: BackendRecord,
    /// The number of the last change of its record.
    pub changed_at: u64,
    /// When its record first said that it is leaving.
    pub leaving_since: Option<Stamp>,
    /// Until when its record may be missing after an outage of the key-value service.
    pub missing_until: Option<Stamp>,
    /// Until when it is kept if only another node has reported it.
    pub reported_until: Option<Stamp>,
    /// Whether another server responded at its address.
    pub replaced: bool,
    /// When this node sent the latest request that it has begun to answer.
    pub answered_sent_at: Stamp,
    /// The circuit breaker, which the outcomes of calls drive.
    pub circuit_breaker: CircuitBreaker,
    /// The prompt parts that its prefix cache presumably holds.
    pub parts: CachedParts,
    /// The prompt parts that this node recently sent to it.
    pub recent: RecentParts,
    /// The prompt parts that other nodes recently sent to it, as reported by themselves.
    pub recent_direct: RecentParts,
    /// The prompt parts that other nodes recently sent to it, as reported by relays.
    pub recent_relayed: RecentParts,
    /// The moving average of the ratio between actual and predicted time to the first token, of this node's requests.
    own_slowness: f64,
    /// Its speed.
    pub speed: BackendSpeed,
    /// The load of this node's requests there.
    pub own: Load,
    /// The number of requests that this node recently sent to it.
    pub sent: RecentSum,
    /// What it has announced about the requests that it accepts.
    pub announced: Announced,
    /// The room there while its service is brittle.
    pub room: ServerRoom,
    /// Its connections.
    pub pool: Arc<Pool>,
    reported: HashMap<Incarnation, (Stamp, Load)>,
}

impl Backend {
    /// Returns a backend server of which only the record is known.
    pub fn new(name: &str, identity: u64, record: BackendRecord) -> Backend {
        Backend {
            name: name.into(),
            fact_subject: format!("{name}@{}", record.born.unwrap_or_default()).into(),
            identity,
            pool: Arc::new(Pool::new(record.address)),
            record,
            known_since: Stamp(0),
            changed_at: 0,
            leaving_since: None,
            missing_until: None,
            reported_until: None,
            replaced: false,
            answered_sent_at: Stamp(0),
            circuit_breaker: CircuitBreaker::default(),
            parts: CachedParts::default(),
            recent: RecentParts::default(),
            recent_direct: RecentParts::default(),
            recent_relayed: RecentParts::default(),
            own_slowness: 1.0,
            speed: BackendSpeed::default(),
            own: Load::default(),
            sent: RecentSum::default(),
            announced: Announced::default(),
            room: ServerRoom::default(),
            reported: HashMap::new(),
        }
    }

    /// Notes when its record first says that it is leaving.
    pub fn note_record_state(&mut self, now: Stamp) {
        if self.record.state != BackendState::Ready {
            self.leaving_since.get_or_insert(now);
        }
    }

    /// Returns whether it is leaving and other nodes may not know so: it has said so before its record did, or
    /// its record has changed only recently.
    pub fn is_leaving_reported(&self, now: Stamp) -> bool {
        if self.record.state == BackendState::Ready {
            return self.announced.is_leaving();
        }
        self.leaving_since.is_some_and(|since| now.since(since) < LEAVING_REPORTED_FOR)
    }

    /// Returns whether it accepts new work.
    pub fn accepts_work(&self) -> bool {
        self.record.state == BackendState::Ready && !self.announced.is_leaving() && !self.replaced
    }

    /// Notes the load that another node reported.
    pub fn note_reported(&mut self, now: Stamp, node: Incarnation, load: Load) {
        // Each restart of a node has another incarnation; without this, entries would accumulate.
        self.reported.retain(|_, (at, _)| now.since(*at) < REPORT_TIMEOUT);
        self.reported.insert(node, (now, load));
    }

    /// Drops the load that a node reported.
    pub fn clear_reported(&mut self, node: Incarnation) {
        self.reported.remove(&node);
    }

    /// Drops the loads that all other nodes reported.
    pub fn clear_all_reported(&mut self) {
        self.reported.clear();
    }

    /// Returns the load of this node and of the other nodes for whose incarnations `counts` is true.
    pub fn load(&self, now: Stamp, counts: impl Fn(Incarnation) -> bool) -> Load {
        let mut sum = self.own;
        for (incarnation, (at, load)) in &self.reported {
            if now.since(*at) < REPORT_TIMEOUT && counts(*incarnation) {
                sum = sum.plus(*load);
            }
        }
        sum
    }

    /// Returns the number of requests of all nodes there.
    pub fn requests(&self, now: Stamp) -> u32 {
        let others = self.valid_reports(now).map(|load| load.requests);
        others.fold(self.own.requests, u32::saturating_add)
    }

    /// Returns the waiting tokens of all nodes there with a priority at least as urgent as `rank`.
    pub fn waiting_before(&self, now: Stamp, rank: u8) -> u64 {
        let others: u64 = self.valid_reports(now).map(|load| load.waiting_before(rank)).sum();
        self.own.waiting_before(rank) + others
    }

    /// Returns the prompt tokens of all nodes' requests that are queued at it.
    pub fn waiting(&self, now: Stamp) -> u64 {
        self.waiting_before(now, u8::MAX - 1)
    }

    /// Returns the tokens of all nodes' requests in its KV cache.
    pub fn held(&self, now: Stamp) -> u64 {
        let others: u64 = self.valid_reports(now).map(|load| u64::from(load.held)).sum();
        u64::from(self.own.held) + others
    }

    /// Notes the predicted and the actual time to a first token.
    pub fn note_first_token(&mut self, predicted: Duration, took: Duration) {
        let predicted = predicted.as_secs_f64().max(0.02);
        let (min, max) = SLOWNESS_BOUNDS;
        let sample = (took.as_secs_f64() / predicted).clamp(min, max);
        self.own_slowness += (sample - self.own_slowness) * SLOWNESS_WEIGHT;
    }

    /// Returns the time of its first tokens as a multiple of what the service's model expects.
    pub fn slowness(&self, source: SpeedSource) -> f64 {
        match source {
            SpeedSource::OwnRequests => self.own_slowness,
            SpeedSource::AllNodes => self.speed.first.factor(),
        }
    }

    fn valid_reports(&self, now: Stamp) -> impl Iterator<Item = &Load> {
        let fresh = self.reported.values().filter(move |(at, _)| now.since(*at) < REPORT_TIMEOUT);
        fresh.map(|(_, load)| load)
    }
}
