//! The retry budgets of a node.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bulrushhall_core::{NodeName, ServiceName, Stamp};
use bulrushhall_policy::{
    headroom_share::{HeadroomShare, MemberView},
    windowed_retry_budget::{RetryAllowance, RetryLimit, WindowedRetryBudget},
};

use crate::{
    cluster::RECORD_TTL,
    gateway::{Gateway, State},
    retries::EndedRetries,
};

/// The age of the records of nodes up to which this node's own record is known to be among them.
const MAX_RECORDS_AGE: Duration = Duration::from_secs(2);
/// The time since a renewal in which the others have this node's record: a second less than its lease, for retries under way.
const RECORD_KEPT_FOR: Duration = RECORD_TTL.saturating_sub(Duration::from_secs(1));
/// The most stopped nodes whose retries are kept.
const MAX_ENDED: usize = 64;

/// A `RetryCheck` is the answer to whether a retry may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryCheck {
    /// Whether it may.
    pub is_allowed: bool,
    /// What is allowed in the window, and what was paid.
    pub allowance: RetryAllowance,
    /// The nodes among which the headroom is divided.
    pub nodes: u32,
}

/// A `RetryState` holds the retry budget of each service, and the node's part of the headroom.
#[derive(Clone, Debug)]
pub struct RetryState {
    limit: RetryLimit,
    budgets: HashMap<ServiceName, WindowedRetryBudget>,
    share: HeadroomShare,
    /// The most nodes since the record of this one was last known to be in the key-value service.
    nodes_when_listed: usize,
    /// The retries of nodes that have stopped, with the times of their ends.
    ended: BTreeMap<NodeName, (Stamp, EndedRetries)>,
    has_inherited: bool,
    /// Whether this node has stopped and sends no more retries.
    is_closed: bool,
}

impl Default for RetryState {
    fn default() -> Self {
        RetryState::new(RetryLimit::default(), false)
    }
}

impl RetryState {
    /// Returns the state at the start of a process; `is_first` is whether the whole system starts for the first time.
    pub fn new(limit: RetryLimit, is_first: bool) -> RetryState {
        let share = HeadroomShare::new(limit.window, is_first);
        RetryState {
            limit,
            budgets: HashMap::new(),
            share,
            nodes_when_listed: 0,
            ended: BTreeMap::new(),
            has_inherited: false,
            is_closed: false,
        }
    }

    /// Records a request to a service.
    pub fn note_first(&mut self, now: Stamp, service: &ServiceName) {
        let limit = self.limit;
        self.budget(service).note_first(now, limit);
    }

    /// Returns whether a retry may be sent now.
    pub fn check(&mut self, now: Stamp, service: &ServiceName) -> RetryCheck {
        let (limit, share) = (self.limit, self.share.get(now));
        let allowance = self.budget(service).allowance(now, limit, share);
        let is_allowed = !self.is_closed && 0 < allowance.remaining();
        RetryCheck { is_allowed, allowance, nodes: self.share.nodes() }
    }

    /// Pays for a retry if it may be sent now.
    pub fn pay(&mut self, now: Stamp, service: &ServiceName) -> RetryCheck {
        let (limit, share) = (self.limit, self.share.get(now));
        let is_closed = self.is_closed;
        let budget = self.budget(service);
        let is_allowed = !is_closed && budget.take(now, limit, share);
        let allowance = budget.allowance(now, limit, share);
        RetryCheck { is_allowed, allowance, nodes: self.share.nodes() }
    }

    /// Notes what is known of the nodes.
    pub fn note_members(&mut self, now: Stamp, view: MemberView) {
        self.share.note(now, view);
        let window = self.limit.window;
        self.ended.retain(|_, (ended_at, _)| now.since(*ended_at) < window);
    }

    /// Refuses all retries from now on, and returns those of this node that still count.
    pub fn close(&mut self, now: Stamp) -> impl Iterator<Item = (ServiceName, Vec<Stamp>)> {
        self.is_closed = true;
        let limit = self.limit;
        let spent = self.budgets.iter_mut().map(move |(service, budget)| {
            (service.clone(), budget.spent(now, limit).collect::<Vec<_>>())
        });
        spent.filter(|(_, paid)| !paid.is_empty())
    }

    /// Notes the retries of a node that has stopped.
    pub fn note_ended(&mut self, now: Stamp, ended: EndedRetries) {
        let ended_at = ended.ended_at(now);
        let known = self.ended.get(&ended.node);
        let is_newer = known.is_none_or(|(_, known)| known.incarnation < ended.incarnation);
        let has_room = known.is_some() || self.ended.len() < MAX_ENDED;
        if is_newer && has_room && now.since(ended_at) < self.limit.window {
            self.ended.insert(ended.node.clone(), (ended_at, ended));
        }
    }

    /// Returns the retries of nodes that have stopped, with their present ages.
    pub fn ended(&self, now: Stamp) -> Vec<EndedRetries> {
        let ended = self.ended.values();
        ended.map(|(ended_at, ended)| ended.aged(now.since(*ended_at))).collect()
    }

    /// Takes over the retries of the previous process of this node, once.
    pub fn inherit(&mut self, now: Stamp, ended: &EndedRetries) {
        if std::mem::replace(&mut self.has_inherited, true) {
            return;
        }
        self.share.inherit(now, ended.ended_at(now));
        for (service, paid) in ended.paid(now) {
            self.budget(&service).inherit(paid);
        }
    }

    fn budget(&mut self, service: &ServiceName) -> &mut WindowedRetryBudget {
        // The name is cloned only for a new entry, as each request gets here.
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.clone(), WindowedRetryBudget::default());
        }
        self.budgets.get_mut(service).unwrap_or_else(|| unreachable!("just inserted"))
    }
}

/// Notes what a node knows of all nodes for its part of the headroom.
pub fn note_members(gateway: &Gateway, state: &mut State, now: Stamp) {
    let view = member_view(state, now, &gateway.settings.gateway.name);
    state.retries.note_members(now, view);
}

/// Returns what a node knows of all nodes.
///
/// The nodes that it hears count it. Those that it doesn't hear count it while its record is in the key-value service; of two parts that
/// don't hear each other only the larger one uses its headroom. Records expire while the service refuses writes, so a part is compared
/// with the nodes that were there when this one's record was.
fn member_view(state: &mut State, now: Stamp, own: &NodeName) -> MemberView {
    let count = state.members.count();
    let records_age = state.records_age(now);
    let is_recent = records_age.is_some_and(|age| age < MAX_RECORDS_AGE);
    let is_kept =
        state.members.own_record_kept_at.is_some_and(|at| now.since(at) < RECORD_KEPT_FOR);
    let is_listed = is_recent && is_kept && !state.members.own_record_missing;
    let before = if is_listed { 0 } else { state.retries.nodes_when_listed };
    state.retries.nodes_when_listed = before.max(count);
    let most = state.retries.nodes_when_listed;
    // Before it has ever seen the records, it may not know of the others.
    let hears_most = records_age.is_some() && most < 2 * (state.members.live_count(now) + 1);
    let rank = state.members.iter().filter(|(name, _)| *name < own).count();
    MemberView {
        nodes: u32::try_from(count).unwrap_or(u32::MAX),
        rank: u32::try_from(rank).unwrap_or(u32::MAX),
        is_counted: is_listed || hears_most,
    }
}
