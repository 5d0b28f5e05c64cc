//! The shared state of a node.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, OnceLock},
    time::Duration,
};

use arc_swap::ArcSwapOption;
use bulrushhall_coord::{
    CatchUp, Eras, Facts, Freshness, RelayPlan, RelayRanking, Role, UpdateSources, UsageCounts,
    Window, usage::clock_correction,
};
use bulrushhall_core::{Era, Event, Incarnation, NodeName, Revision, ServiceName, Stamp, TeamName};
use bulrushhall_external::KeyValue;
use bulrushhall_policy::{
    placement::WorkerKey,
    quota::{Quota, QuotaSlack},
    server_speed::LinkOffset,
    windowed_retry_budget::RetryLimit,
};
use tokio::sync::{Notify, watch};

use crate::{
    adapter::{Orders, Records, Wire},
    backends::{Backend, Backends},
    body_budget::{BodyBudget, event_budget, message_budget},
    brittle::{BrittleServices, node_hash},
    clock,
    cluster::{MemberRecord, Members, RecordCursor, ReplyBudget, Watches},
    crashes::CrashState,
    demand::Demand,
    meters,
    observed::Observed,
    platform_calls::PlatformCalls,
    prefix_homes::PrefixState,
    reachability::ServiceReachability,
    reported_facts::registry,
    retries::RetryState,
    rollouts::RolloutState,
    settings::{BoundSettings, Settings},
    speed_settings::SpeedSource,
    startup::{Stage, Startup},
    status::TeamCounts,
    streams::StreamState,
    table::{CallerLimits, RouteTable, TeamEntry},
    waiting::WaitingState,
};

/// The bits of an incarnation below its time, which is in milliseconds.
const INCARNATION_BITS: u32 = 12;
/// The greatest number of so many bits.
const INCARNATION_MASK: u64 = (1 << INCARNATION_BITS) - 1;
/// The margin within the time bound for revocations: for a request in transit to a backend server, and
/// for clock drift.
const REVOCATION_MARGIN: Duration = Duration::from_millis(400);
/// The margin within the time bound for configurations: for learning of a newer one, which takes a gossip
/// interval of 250 ms, and for a request in transit to a backend server.
const CONFIG_MARGIN: Duration = Duration::from_millis(500);
/// How long after a restore of the key-value service operators may not have written its configuration again.
const RESTORED_CONFIG_TIMEOUT: Duration = Duration::from_secs(10);
/// The age from which a configuration may be outdated, so that an unknown route or key may be a new one.
/// It is three times the duration of a watch.
const MAX_CERTAIN_CONFIG_AGE: Duration = Duration::from_millis(4_500);

/// The time since a relay's last update after which a member follows the records of backend servers itself.
const RELAYED_RECORDS_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The time after which a member requests all records again: that in which a reply to a digest has to arrive, with a margin.
const RECORDS_TIMEOUT: Duration = Duration::from_millis(800);
/// The age of its records up to which a relay supplies them to members. Members follow the key-value service themselves 1 s
/// after the last update, and a server may get requests for 2 to 3 s after its record says that it leaves.
const MAX_SUPPLIED_RECORDS_AGE: Duration = Duration::from_millis(1_000);
/// The age of the configuration up to which a member relies on relays: the duration of a relay's watch
/// plus the hops to this node.
const MAX_RELAYED_CONFIG_AGE: Duration = Duration::from_millis(2_800);

/// A `Phase` is a stage of a node's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The node serves.
    Serving,
    /// The node's address is withdrawn from callers, but it still accepts requests.
    Leaving,
    /// The node accepts no new requests and finishes those in flight.
    Draining,
}

/// A `Platform` is the implementation of a platform by its adapter.
#[derive(Clone)]
pub struct Platform {
    /// The format of request and response heads.
    pub wire: Arc<dyn Wire>,
    /// The format of records in the key-value service.
    pub records: Arc<dyn Records>,
    /// The key-value service.
    pub key_value: Arc<dyn KeyValue>,
    /// The cloud API, if there is one.
    pub orders: Option<Arc<dyn Orders>>,
}

/// A `State` is the mutable state of a node.
#[derive(Default)]
pub struct State {
    /// What the node knows the speeds of backend servers from.
    pub speed_source: SpeedSource,
    /// Whether the node reports its latency models for those of all nodes together.
    pub shares_models: bool,
    /// The backend servers.
    pub backends: Backends,
    /// The other nodes.
    pub members: Members,
    /// The role of this node in gossip, and the nodes with which it exchanges digests.
    pub relays: RelayPlan,
    /// The relays whose aggregates are applied.
    pub sources: UpdateSources,
    /// When another node last contacted this one as a relay.
    pub contacted_as_relay_at: Option<Stamp>,
    /// The number of gossip rounds since the start.
    pub gossip_rounds: u64,
    /// The moment up to which the configuration is known to have been the newest.
    pub freshness: Freshness,
    /// The era of the key-value service, and when it was last restored from an older copy.
    pub eras: Eras,
    /// Whether the key-value service has shown no configuration as new as the active one since it was
    /// restored.
    pub config_restored_older: bool,
    /// The newer configurations that other nodes have.
    pub catch_up: CatchUp,
    /// Whether the key-value service fails to return the configuration.
    pub config_lost: bool,
    /// Since when the records of backend servers are followed without a failure.
    pub records_steady_since: Option<Stamp>,
    /// The moment up to which the records of backend servers are known to be complete, from the key-value service.
    pub records_known_at: Option<Stamp>,
    /// The position in the records that a relay supplies, and the time of its last update.
    pub relayed_records: Option<(RecordCursor, Stamp)>,
    /// The number of these updates.
    pub relayed_update_count: u64,
    /// The budget of a relay for replies with all records.
    pub reply_budget: ReplyBudget,
    /// When all records were last requested from a relay; none once they have arrived.
    pub records_requested_at: Option<Stamp>,
    /// The proofs of this node's watches and those of other nodes.
    pub watches: Watches,
    /// The quota of each team.
    pub quotas: HashMap<TeamName, Quota>,
    /// The recent usage and refusals of each team at this node.
    pub team_counts: HashMap<TeamName, TeamCounts>,
    /// When the node started; none if the whole system started for the first time.
    pub restarted_at: Option<Stamp>,
    /// The number of statements of backend servers about their limits that this node received.
    pub limit_notes: u64,
    /// The retry budgets.
    pub retries: RetryState,
    /// The number of requests started by each team.
    pub usage: UsageCounts,
    /// The load that this node offers to the engines of each service.
    pub demand: HashMap<ServiceName, Demand>,
    /// The services whose servers say that they are brittle.
    pub brittle: BrittleServices,
    /// The services that this node has lost its way to.
    pub reachability: ServiceReachability,
    /// The roll-outs of versions.
    pub rollouts: RolloutState,
    /// The versions at which streams began.
    pub streams: StreamState,
    /// The crashes of backend servers, and the prompt parts that are refused because of them.
    pub crashes: CrashState,
    /// The latencies observed at the backend servers of each service.
    pub observed: HashMap<ServiceName, Observed>,
    /// The facts that nodes report to each other.
    pub facts: Facts,
    /// The prompt prefixes, with their uses over all nodes.
    pub prefixes: PrefixState,
    /// The requests that wait for engines.
    pub waiting: WaitingState,
    /// The timeline of the start.
    pub startup: Startup,
}

impl State {
    /// Notes that the active configuration was the newest one at `at`.
    pub fn note_config_newest(&mut self, at: Stamp) {
        self.freshness.note(at);
        // A restored service may lack a newer configuration that nodes still have.
        let restored_at = self.eras.restored_at();
        if restored_at.is_none_or(|restored_at| restored_at + RESTORED_CONFIG_TIMEOUT < at) {
            self.catch_up.refute(at);
        }
    }

    /// Returns the position in the records that a relay supplies; none while no relay does.
    pub fn relay_cursor(&self, now: Stamp) -> Option<RecordCursor> {
        let (cursor, at) = self.relayed_records?;
        (self.relays.role == Role::Member && now.since(at) < RELAYED_RECORDS_TIMEOUT)
            .then_some(cursor)
    }

    /// Returns the position to be sent to the relay in the next digest.
    ///
    /// Without one the relay replies with all records. If each round requested them again before they have
    /// arrived, the replies to all members of a zone would saturate the relay's link and none would arrive in time.
    pub fn requested_cursor(&mut self, now: Stamp, own: Incarnation) -> Option<RecordCursor> {
        let cursor = self.relay_cursor(now);
        if cursor.is_some() {
            return cursor;
        }
        if self.records_requested_at.is_some_and(|at| now.since(at) < RECORDS_TIMEOUT) {
            // A relay sends no records to a member that has those of another one.
            return Some(RecordCursor { relay: own, backends: 0, members: 0 });
        }
        self.records_requested_at = Some(now);
        None
    }

    /// Returns whether this node's records of backend servers are recent enough to be supplied to members.
    pub fn may_supply_records(&self, now: Stamp) -> bool {
        self.records_known_at.is_some_and(|at| now.since(at) < MAX_SUPPLIED_RECORDS_AGE)
    }

    /// Returns the time since the records of backend servers were known to be complete; none if they never were.
    pub fn records_age(&self, now: Stamp) -> Option<Duration> {
        // What a relay supplies replaces what this node knew, and may be older.
        if self.relay_cursor(now).is_some() {
            let (_, at) = self.relayed_records?;
            return Some(now.since(at) + MAX_SUPPLIED_RECORDS_AGE);
        }
        self.records_known_at.map(|at| now.since(at))
    }

    /// Returns whether relays keep this node's configuration up to date.
    pub fn is_config_relayed(&self, now: Stamp, own: Revision) -> bool {
        self.relays.role == Role::Member
            && self.freshness.is_within(now, MAX_RELAYED_CONFIG_AGE)
            && self.catch_up.behind_since(own).is_none()
    }

    /// Records a sample of a backend server's speed, with the offset of this node's link.
    pub fn note_speed(
        &mut self,
        key: WorkerKey,
        service: &ServiceName,
        note: impl FnOnce(&mut Backend, &mut LinkOffset),
    ) {
        let mut link = self.observed(service).link;
        if let Some(backend) = self.backends.get_mut(key) {
            note(backend, &mut link);
        }
        self.observed(service).link = link;
    }

    /// Returns the latencies observed at the backend servers of a service.
    pub fn observed(&mut self, service: &ServiceName) -> &mut Observed {
        // This is called several times per request, so the name is cloned only for a new entry.
        if !self.observed.contains_key(service) {
            self.observed.insert(service.clone(), Observed::default());
        }
        self.observed.get_mut(service).unwrap_or_else(|| unreachable!("just inserted"))
    }

    /// Returns the recent usage and refusals of a team.
    pub fn team_counts(&mut self, team: &TeamEntry) -> &mut TeamCounts {
        // The name is cloned only for a new entry, as each request of the team gets here.
        if !self.team_counts.contains_key(&team.name) {
            self.team_counts.insert(team.name.clone(), TeamCounts::default());
        }
        let counts = self.team_counts.get_mut(&team.name);
        let counts = counts.unwrap_or_else(|| unreachable!("just inserted"));
        (counts.limit, counts.unit) = (team.limit, team.unit);
        counts
    }

    /// Returns the quota of a team.
    pub fn quota(&mut self, team: &TeamName) -> &mut Quota {
        let restarted_at = self.restarted_at;
        let bucket = || restarted_at.map_or_else(Quota::default, Quota::empty);
        self.quotas.entry(team.clone()).or_insert_with(bucket)
    }
}

/// Returns the incarnation of a node that starts at a wall clock time since 1970: higher than those of its earlier processes, and
/// another one than those of the nodes that start in the same millisecond, as after a loss of power.
pub fn new_incarnation(name: &NodeName, wall_clock: Duration) -> Incarnation {
    let started = u64::try_from(wall_clock.as_millis()).unwrap_or(u64::MAX);
    let hash = node_hash(name);
    let time = started.saturating_add(hash & INCARNATION_MASK);
    Incarnation((time << INCARNATION_BITS) | ((hash >> INCARNATION_BITS) & INCARNATION_MASK))
}

/// A `Gateway` is the shared state of a node.
pub struct Gateway {
    /// The memory for the bodies of callers' requests.
    pub bodies: BodyBudget,
    /// The memory for the messages of other nodes.
    pub messages: BodyBudget,
    /// The memory for incomplete events of backend servers.
    pub events: BodyBudget,
    /// Its settings.
    pub settings: Settings,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The platform; its calls are counted.
    pub platform: Platform,
    /// The counts of its calls.
    pub calls: Arc<PlatformCalls>,
    /// The active configuration; none before one is known.
    pub table: ArcSwapOption<RouteTable>,
    /// The stage of its shutdown.
    pub phase: watch::Sender<Phase>,
    /// When open answers are cut; unset before the shutdown begins.
    pub cut_at: OnceLock<Stamp>,
    /// The requests of other nodes that it carries.
    pub carried: watch::Sender<usize>,
    /// Notified when origins of streams have to be copied to other nodes.
    pub copies_due: Notify,
    /// Notified when blocks of prompt parts have to be written to the key-value service.
    pub blocks_due: Notify,
    /// Notified when a request is queued for an engine.
    pub waiting_due: Notify,
    state: Mutex<State>,
    /// The wall clock at the monotonic clock's zero, as of the start.
    wall_clock_offset: Duration,
}

impl Gateway {
    /// Returns a node without a configuration and without other nodes.
    pub fn new(settings: Settings, platform: Platform) -> Gateway {
        let wall_clock = clock::wall_clock();
        let incarnation = new_incarnation(&settings.gateway.name, wall_clock);
        let restarted_at = (!settings.gateway.first_start).then(clock::now);
        let streams = match settings.gateway.first_start {
            true => StreamState::at_first_start(),
            false => StreamState::default(),
        };
        let facts = registry(incarnation);
        let speed_source = settings.speeds.source();
        let shares_models = settings.fleet.shared_model;
        let prefixes = PrefixState::new(settings.prefixes);
        let startup = Startup::new(clock::now());
        let retries = RetryState::new(retry_limit(&settings.bounds), settings.gateway.first_start);
        let state = State {
            speed_source,
            shares_models,
            restarted_at,
            streams,
            facts,
            prefixes,
            startup,
            retries,
            ..State::default()
        };
        let calls = Arc::new(PlatformCalls::default());
        Gateway {
            bodies: BodyBudget::new(settings.capacity.memory_mb),
            messages: message_budget(&settings.capacity),
            events: event_budget(&settings.capacity),
            settings,
            incarnation,
            platform: calls.counted(platform),
            calls,
            table: ArcSwapOption::empty(),
            phase: watch::Sender::new(Phase::Serving),
            cut_at: OnceLock::new(),
            carried: watch::Sender::new(0),
            copies_due: Notify::new(),
            blocks_due: Notify::new(),
            waiting_due: Notify::new(),
            state: Mutex::new(state),
            // The wall clock may jump while the node runs; the monotonic clock does not.
            wall_clock_offset: wall_clock.saturating_sub(clock::now().since(Stamp(0))),
        }
    }

    /// Notes that a stage of the start is reached.
    pub fn note_stage(&self, stage: Stage) {
        self.with(|state| state.startup.note(clock::now(), stage));
    }

    /// Calls `act` with exclusive access to the state.
    pub fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }

    /// Returns the record of this node for other nodes.
    pub fn record(&self) -> MemberRecord {
        let ports = &self.settings.ports;
        MemberRecord {
            incarnation: self.incarnation,
            zone: self.settings.gateway.zone.clone(),
            callers: ports.callers,
            peers: ports.peers,
            weight: self.settings.capacity.weight(),
            relay_ranking: RelayRanking::Weight,
        }
    }

    /// Returns the era of the key-value service, and notes whether it has changed.
    pub fn era(&self) -> Option<Era> {
        let era = self.platform.key_value.era()?;
        self.with(|state| {
            if state.eras.observe(clock::now(), era) {
                state.config_restored_older = true;
                tracing::warn!(event = Event::StoreRestored.number(), era = era.0);
                meters::store_restored();
            }
            state.eras.current()
        })
    }

    /// Returns the active revision; 0 before one is known.
    pub fn revision(&self) -> Revision {
        self.table.load().as_ref().map_or(Revision(0), |table| table.revision)
    }

    /// Returns the limits of callers' requests; the usual ones before a configuration is known.
    pub fn caller_limits(&self) -> CallerLimits {
        self.table.load().as_ref().map_or_else(CallerLimits::default, |table| table.limits)
    }

    /// Returns the stage of the shutdown.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns the current usage window.
    pub fn window(&self) -> Window {
        Window::at(self.agreed_wall_clock(), self.settings.bounds.usage_window.into())
    }

    /// Returns the usage window at an earlier time.
    pub fn window_at(&self, at: Stamp) -> Window {
        let wall_clock = self.agreed_wall_clock().saturating_sub(clock::now().since(at));
        Window::at(wall_clock, self.settings.bounds.usage_window.into())
    }

    /// Returns the time since the start of the current usage window.
    pub fn time_into_window(&self) -> Duration {
        let length = Duration::from(self.settings.bounds.usage_window).as_millis().max(1);
        Duration::from_millis(
            u64::try_from(self.agreed_wall_clock().as_millis() % length).unwrap_or(0),
        )
    }

    /// Returns this node's wall clock at its start, advanced by a monotonic clock.
    pub fn own_wall_clock(&self) -> Duration {
        self.wall_clock_offset + clock::now().since(Stamp(0))
    }

    // The wall clock corrected by the offsets of the other nodes, so that most nodes agree on it.
    fn agreed_wall_clock(&self) -> Duration {
        let offset = self.with(|state| clock_correction(state.members.clock_offsets()));
        let shift = Duration::from_millis(offset.unsigned_abs());
        let own = self.own_wall_clock();
        if offset < 0 { own.saturating_sub(shift) } else { own + shift }
    }

    /// Returns whether the configuration is recent enough to accept its keys.
    pub fn may_use_keys(&self) -> bool {
        let bound = Duration::from(self.settings.bounds.revocation);
        let limit = bound.saturating_sub(REVOCATION_MARGIN);
        self.with(|state| state.freshness.is_within(clock::now(), limit))
    }

    /// Returns whether the configuration is recent enough to reject unknown routes and keys.
    pub fn is_config_current(&self) -> bool {
        self.with(|state| state.freshness.is_within(clock::now(), MAX_CERTAIN_CONFIG_AGE))
    }

    /// Returns whether a newer configuration has been announced for so long that the active one may no
    /// longer be used.
    ///
    /// A node whose link is too slow, or that can't parse the newer one, would otherwise keep serving
    /// removed routes. As long as no node has a newer configuration, the active one remains valid.
    pub fn is_outdated(&self) -> bool {
        let own = self.revision();
        let limit = Duration::from(self.settings.bounds.config_apply);
        let limit = limit.saturating_sub(CONFIG_MARGIN);
        let since = self.with(|state| state.catch_up.behind_since(own));
        since.is_some_and(|since| limit <= clock::now().since(since))
    }

    /// Returns whether the node can serve callers.
    pub fn is_ready(&self) -> bool {
        let Some(table) = self.table.load_full() else { return false };
        let usable = !table.is_keyed() || self.may_use_keys();
        self.phase() == Phase::Serving && usable && !self.is_outdated()
    }

    /// Returns the amounts by which teams may exceed their limits.
    pub fn quota_slack(&self) -> QuotaSlack {
        let bounds = &self.settings.bounds;
        QuotaSlack {
            window: bounds.quota_window.into(),
            overage: bounds.quota_overage,
            headroom: bounds.quota_headroom,
        }
    }
}

/// Returns the limit on retries in the settings of a node.
pub fn retry_limit(bounds: &BoundSettings) -> RetryLimit {
    RetryLimit {
        ratio: bounds.retry_ratio,
        headroom: bounds.retry_headroom,
        window: bounds.retry_window.into(),
    }
}
