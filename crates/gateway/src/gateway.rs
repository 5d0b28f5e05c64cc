//! What every part of a node needs to reach.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use arc_swap::ArcSwapOption;
use bulrushhall_coord::{
    CatchUp, Freshness, RelayPlan, Role, UpdateSources, UsageCounts, Window,
    usage::clock_correction,
};
use bulrushhall_core::{Incarnation, Revision, ServiceName, Stamp, TeamName};
use bulrushhall_external::KeyValue;
use bulrushhall_policy::{
    quota::{Quota, QuotaSlack},
    windowed_retry_budget::{RetryLimit, WindowedRetryBudget},
};
use rand::RngExt;
use tokio::sync::watch;

use crate::{
    adapter::{Orders, Records, Wire},
    backends::Backends,
    clock,
    cluster::{MemberRecord, Members, RecordsKnown},
    demand::Demand,
    observed::Observed,
    settings::Settings,
    table::RouteTable,
};

/// The part of the time for revocations that is kept free: for a request on its way to a backend
/// server, and for clocks that run apart.
const REVOCATION_MARGIN: Duration = Duration::from_millis(400);
/// The part of the time for configurations that is kept free: for hearing of a newer one, which takes an
/// exchange of 250 ms, and for a request on its way to a backend server.
const CONFIG_MARGIN: Duration = Duration::from_millis(500);
/// The age from which a configuration may lack what others have: a route or key that this node does
/// not know may be new. It is three times the wait of a watch.
const DOUBTFUL_AGE: Duration = Duration::from_millis(4_500);

/// How long after a relay's last word on the records of backend servers a member follows them itself.
const FED_FOR: Duration = Duration::from_millis(1_000);
/// The age of the configuration up to which a member relies on relays: the wait of a relay's watch, and the
/// ways to this node.
const CONFIG_FED_AGE: Duration = Duration::from_millis(2_800);

/// A `Phase` is how far a node is on its way to the stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It is out of the addresses, and still takes what comes.
    Leaving,
    /// It takes nothing new and ends what it has.
    Ending,
}

/// A `Platform` is what an adapter gives: the platform's services and its dialect.
#[derive(Clone)]
pub struct Platform {
    /// The heads of requests and answers.
    pub wire: Arc<dyn Wire>,
    /// What lies in the key-value service.
    pub records: Arc<dyn Records>,
    /// The key-value service, for short calls.
    pub key_value: Arc<dyn KeyValue>,
    /// The cloud, where there is one.
    pub orders: Option<Arc<dyn Orders>>,
}

/// A `State` is what a node believes and counts.
#[derive(Default)]
pub struct State {
    /// The backend servers.
    pub backends: Backends,
    /// The other nodes.
    pub members: Members,
    /// Whom this node exchanges news with.
    pub relays: RelayPlan,
    /// The relays whose sums are taken in.
    pub sources: UpdateSources,
    /// When another node last took this one for a relay.
    pub relay_asked_at: Option<Stamp>,
    /// The exchanges since the start.
    pub exchanges: u64,
    /// Up to which moment the configuration is known to have been the newest.
    pub freshness: Freshness,
    /// Which newer configurations other nodes told of.
    pub catch_up: CatchUp,
    /// Whether the key-value service does not answer when asked for the configuration.
    pub config_lost: bool,
    /// Since when the records of backend servers are followed without a failure.
    pub records_steady_since: Option<Stamp>,
    /// Up to where a relay has told this node the records of backend servers, and when it did so last.
    pub fed_records: Option<(RecordsKnown, Stamp)>,
    /// How often it did so.
    pub times_fed: u64,
    /// What each team took.
    pub quotas: HashMap<TeamName, Quota>,
    /// When the node started, unless the whole system started for the first time.
    pub restarted_at: Option<Stamp>,
    /// The repeats at each service.
    pub repeats: HashMap<ServiceName, WindowedRetryBudget>,
    /// The requests begun.
    pub usage: UsageCounts,
    /// The work that engines of each service were sent.
    pub demand: HashMap<ServiceName, Demand>,
    /// What was learnt of the backend servers of each service.
    pub observed: HashMap<ServiceName, Observed>,
}

impl State {
    /// Returns up to where a relay tells this node the records of backend servers; none while none does.
    pub fn relay_cursor(&self, now: Stamp) -> Option<RecordsKnown> {
        let (known, at) = self.fed_records?;
        (self.relays.role == Role::Member && now.since(at) < FED_FOR).then_some(known)
    }

    /// Returns whether relays keep this node's knowledge of the configuration fresh.
    pub fn is_config_fed(&self, now: Stamp, own: Revision) -> bool {
        self.relays.role == Role::Member
            && self.freshness.is_within(now, CONFIG_FED_AGE)
            && self.catch_up.behind_since(own).is_none()
    }

    /// Returns what was learnt of the backend servers of a service.
    pub fn observed(&mut self, service: &ServiceName) -> &mut Observed {
        // Asked several times a request: the name is copied only where nothing is known yet.
        if !self.observed.contains_key(service) {
            self.observed.insert(service.clone(), Observed::default());
        }
        self.observed.get_mut(service).unwrap_or_else(|| unreachable!("just inserted"))
    }

    /// Returns the bucket of a team.
    pub fn quota(&mut self, team: &TeamName) -> &mut Quota {
        let restarted_at = self.restarted_at;
        let bucket = || restarted_at.map_or_else(Quota::default, Quota::empty);
        self.quotas.entry(team.clone()).or_insert_with(bucket)
    }
}

/// A `Gateway` is one node.
pub struct Gateway {
    /// Its settings.
    pub settings: Settings,
    /// This life of it.
    pub incarnation: Incarnation,
    /// The platform.
    pub platform: Platform,
    /// The configuration in force; none before one is known.
    pub table: ArcSwapOption<RouteTable>,
    /// How far it is on its way to the stop.
    pub phase: watch::Sender<Phase>,
    state: Mutex<State>,
    /// The time of day at the stamp 0, as it was at the start.
    day_offset: Duration,
}

impl Gateway {
    /// Returns a node that knows nothing yet.
    pub fn new(settings: Settings, platform: Platform) -> Gateway {
        let day = clock::wall_clock();
        let started = u64::try_from(day.as_millis()).unwrap_or(u64::MAX);
        let incarnation = Incarnation((started << 12) | rand::rng().random_range(0..1 << 12));
        let restarted_at = (!settings.gateway.first_start).then(clock::now);
        let state = State { restarted_at, ..State::default() };
        Gateway {
            settings,
            incarnation,
            platform,
            table: ArcSwapOption::empty(),
            phase: watch::Sender::new(Phase::Serving),
            state: Mutex::new(state),
            // The time of day may jump while the node runs; the steady clock does not.
            day_offset: day.saturating_sub(clock::now().since(Stamp(0))),
        }
    }

    /// Acts on the state.
    pub fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }

    /// Returns what other nodes have to know of this one.
    pub fn record(&self) -> MemberRecord {
        let ports = &self.settings.ports;
        MemberRecord {
            incarnation: self.incarnation,
            zone: self.settings.gateway.zone.clone(),
            callers: ports.callers,
            peers: ports.peers,
        }
    }

    /// Returns the revision in force; 0 before one is known.
    pub fn revision(&self) -> Revision {
        self.table.load().as_ref().map_or(Revision(0), |table| table.revision)
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns the usage window of this moment.
    pub fn window(&self) -> Window {
        Window::at(self.day(), self.settings.bounds.usage_window.into())
    }

    /// Returns how much of the window of this moment has passed.
    pub fn into_window(&self) -> Duration {
        let length = Duration::from(self.settings.bounds.usage_window).as_millis().max(1);
        Duration::from_millis(u64::try_from(self.day().as_millis() % length).unwrap_or(0))
    }

    /// Returns this node's time of day as it was at its start, gone on by a steady clock.
    pub fn own_day(&self) -> Duration {
        self.day_offset + clock::now().since(Stamp(0))
    }

    // The time of day that most nodes agree on.
    fn day(&self) -> Duration {
        let ahead = self.with(|state| clock_correction(state.members.days_ahead()));
        let shift = Duration::from_millis(ahead.unsigned_abs());
        let own = self.own_day();
        if ahead < 0 { own.saturating_sub(shift) } else { own + shift }
    }

    /// Returns whether a key known here may still be used.
    pub fn may_use_keys(&self) -> bool {
        let bound = Duration::from(self.settings.bounds.revocation);
        let limit = bound.saturating_sub(REVOCATION_MARGIN);
        self.with(|state| state.freshness.is_within(clock::now(), limit))
    }

    /// Returns whether what the configuration lacks may be taken as not there.
    pub fn is_certain(&self) -> bool {
        self.with(|state| state.freshness.is_within(clock::now(), DOUBTFUL_AGE))
    }

    /// Returns whether a newer configuration has been known of for so long that the one in force may not
    /// be used any more.
    ///
    /// A node whose link is too slow, or that can't read the newer one, would otherwise go on with routes
    /// that were dropped. As long as nobody has a newer one, nodes go on with what they have.
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

    /// Returns by how much teams may exceed their limits.
    pub fn quota_slack(&self) -> QuotaSlack {
        let bounds = &self.settings.bounds;
        QuotaSlack {
            window: bounds.quota_window.into(),
            overage: bounds.quota_overage,
            headroom: bounds.quota_headroom,
        }
    }

    /// Returns the limit on repeats.
    pub fn repeat_limit(&self) -> RetryLimit {
        let bounds = &self.settings.bounds;
        RetryLimit {
            ratio: bounds.retry_ratio,
            headroom: bounds.retry_headroom,
            window: bounds.retry_window.into(),
        }
    }
}
