//! Roll-outs on a node: which version a request goes to, and the counts of the answers of both versions.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use bulrushhall_coord::{
    NodeCounts,
    rollouts::{OrderId, Rollout, RolloutPhase, Rollouts},
};
use bulrushhall_core::{Event, Incarnation, ServiceName, Stamp, ZoneName};
use bulrushhall_policy::rollout::{
    SlowBar, Track, TrackCounts, TrackGroup, cohort, min_target_servers,
};
use serde::{Deserialize, Serialize};

use crate::{backends::Backends, meters};

/// The number of routes of a service that are counted by themselves.
const MAX_COUNTED_ROUTES: usize = 16;
/// The name under which the others are counted; no route has it.
const OTHER_ROUTES: &str = "*";

/// The key of a count: a route and a group of servers.
pub type CountKey = (String, TrackGroup);

/// `ReportedCounts` are the counts of one roll-out in a digest.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportedCounts {
    /// The service.
    pub service: ServiceName,
    /// The order.
    pub order: OrderId,
    /// The counts.
    pub counts: Vec<(CountKey, TrackCounts)>,
}

/// An `AnswerKey` is where the answer of a request is counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerKey {
    service: ServiceName,
    order: OrderId,
    key: CountKey,
    /// Whether the request can only end where it runs.
    is_bound: bool,
}

impl AnswerKey {
    /// Returns the service.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns the version that answers.
    pub fn track(&self) -> Track {
        self.key.1.track()
    }

    /// Returns whether the request can only end where it runs.
    pub fn is_bound(&self) -> bool {
        self.is_bound
    }
}

/// The counts of the answers in one roll-out.
#[derive(Debug)]
struct Answers {
    order: OrderId,
    counts: NodeCounts<CountKey, TrackCounts>,
}

/// `RolloutState` is the state of all roll-outs on a node.
#[derive(Debug, Default)]
pub struct RolloutState {
    /// The orders and their states.
    pub known: Rollouts,
    answers: HashMap<ServiceName, Answers>,
    slow_bars: HashMap<ServiceName, SlowBar>,
}

/// An `AttemptEnd` is how the last attempt at a server ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server could not be reached.
    Unreachable,
    /// Any other way.
    #[default]
    Other,
}

/// A `VersionFilter` selects the servers of a service by their version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionFilter {
    /// Those of all versions.
    Any,
    /// Those of one version with a hash of at most `max_identity`.
    Only {
        /// The version.
        version: String,
        /// The greatest hash of a name.
        max_identity: u64,
    },
    /// Those of all versions but some.
    Except(Vec<String>),
    /// None.
    Nothing,
}

impl VersionFilter {
    /// Returns the filter without some versions.
    pub fn without(self, versions: Vec<String>) -> VersionFilter {
        match self {
            VersionFilter::Any => VersionFilter::Except(versions),
            VersionFilter::Except(except) => VersionFilter::Except([except, versions].concat()),
            VersionFilter::Only { version, .. } if versions.contains(&version) => {
                VersionFilter::Nothing
            }
            VersionFilter::Only { .. } | VersionFilter::Nothing => self,
        }
    }

    /// Returns whether a server of a version and with a hash of its name is selected.
    pub fn selects(&self, version: &str, identity: u64) -> bool {
        match self {
            VersionFilter::Any => true,
            VersionFilter::Only { version: only, max_identity } => {
                only == version && identity <= *max_identity
            }
            VersionFilter::Except(versions) => versions.iter().all(|except| except != version),
            VersionFilter::Nothing => false,
        }
    }
}

impl RolloutState {
    /// Returns the version to which a request goes first. `hash` is the same for all attempts of a request.
    pub fn track(&self, now: Stamp, service: &ServiceName, hash: u64, is_bound: bool) -> Track {
        let grant = self.known.get(service).and_then(|rollout| rollout.grant(now));
        let Some(grant) = grant else { return Track::Current };
        let is_granted = hash % 1_000 < u64::from(grant.per_mille) || (grant.drains && is_bound);
        if is_granted { Track::Target } else { Track::Current }
    }

    /// Returns the version to which a request goes again after the attempts so far.
    ///
    /// Retries would add to the target version's share. But servers of the current version stop as soon as the
    /// roll-out is completed, which this node may hear later.
    pub fn retry_track(&self, now: Stamp, service: &ServiceName, last: AttemptEnd) -> Track {
        let grant = self.known.get(service).and_then(|rollout| rollout.grant(now));
        let is_draining = grant.is_some_and(|grant| grant.drains);
        match (is_draining, last) {
            (true, AttemptEnd::Unreachable) => Track::Target,
            _ => Track::Current,
        }
    }

    /// Returns the servers that a request of a track may go to.
    pub fn filter(
        &self,
        now: Stamp,
        service: &ServiceName,
        track: Track,
        backends: &Backends,
    ) -> VersionFilter {
        let Some(rollout) = self.known.get(service) else { return VersionFilter::Any };
        let has_other = |except: &VersionFilter| {
            let mut accepting = backends.accepting(service);
            accepting.any(|(_, backend)| except.selects(&backend.record.version, backend.identity))
        };
        match (rollout.phase, track) {
            (RolloutPhase::InProgress, Track::Target) => {
                target_filter(now, service, rollout, backends)
            }
            (RolloutPhase::InProgress, Track::Current) => {
                let current = VersionFilter::Except(vec![rollout.target.clone()]);
                // The version that is ordered may be the only one there has been.
                let is_only = !has_other(&current) && !self.has_current_answers(service);
                if is_only { VersionFilter::Any } else { current }
            }
            (RolloutPhase::Reverted, _) => VersionFilter::Except(vec![rollout.target.clone()]),
            (RolloutPhase::Completed, _) => {
                let kept = VersionFilter::Except(rollout.replaced.clone());
                if has_other(&kept) { kept } else { VersionFilter::Any }
            }
        }
    }

    /// Returns the servers at which a stream that began at a version may go on.
    pub fn bound_filter(
        &self,
        now: Stamp,
        service: &ServiceName,
        version: &str,
        backends: &Backends,
    ) -> VersionFilter {
        let is_current = self.filter(now, service, Track::Current, backends).selects(version, 0);
        let rollout = self.known.get(service).filter(|rollout| rollout.target == version);
        let grant = rollout.and_then(|rollout| rollout.grant(now));
        let is_granted = grant.is_some_and(|grant| 0 < grant.per_mille || grant.drains);
        if is_current || is_granted {
            VersionFilter::Only { version: version.to_owned(), max_identity: u64::MAX }
        } else {
            VersionFilter::Nothing
        }
    }

    /// Returns where the answer of a request is counted; none unless a roll-out of the service is in progress.
    pub fn answer_key(
        &self,
        service: &ServiceName,
        route: &str,
        version: &str,
        identity: u64,
        is_bound: bool,
    ) -> Option<AnswerKey> {
        let rollout = self.known.get(service)?;
        if rollout.phase != RolloutPhase::InProgress {
            return None;
        }
        let is_target = rollout.target == version;
        let group = if is_target { cohort(identity) } else { TrackGroup::CURRENT };
        let key = (route.to_owned(), group);
        Some(AnswerKey { service: service.clone(), order: rollout.order, key, is_bound })
    }

    /// Counts a request, or its answer, of this node.
    pub fn count(
        &mut self,
        own: Incarnation,
        zone: &ZoneName,
        answer: &AnswerKey,
        change: impl FnOnce(&mut TrackCounts),
    ) {
        let answers = self.answers_of(&answer.service, answer.order);
        let counts = answers.counts.counts_mut(own, zone);
        let (route, group) = &answer.key;
        let routes: BTreeSet<&String> = counts.keys().map(|(route, _)| route).collect();
        let is_counted = routes.contains(route) || routes.len() < MAX_COUNTED_ROUTES;
        let route = if is_counted { route } else { OTHER_ROUTES };
        change(counts.entry((route.to_owned(), *group)).or_default());
    }

    /// Notes how long an answer of the current version took.
    pub fn note_usual(&mut self, service: &ServiceName, expected: Duration, took: Duration) {
        if !self.slow_bars.contains_key(service) {
            self.slow_bars.insert(service.clone(), SlowBar::default());
        }
        if let Some(bar) = self.slow_bars.get_mut(service) {
            bar.note(expected, took);
        }
    }

    /// Returns whether an answer took several times longer than usual.
    pub fn is_slow(&self, service: &ServiceName, expected: Duration, took: Duration) -> bool {
        self.slow_bars.get(service).is_some_and(|bar| bar.is_slow(expected, took))
    }

    /// Returns the counts of all nodes for the roll-out of a service.
    pub fn counts(&self, service: &ServiceName, own: Incarnation) -> Vec<(CountKey, TrackCounts)> {
        let Some(answers) = self.answers.get(service) else { return Vec::new() };
        answers.counts.total(own).into_iter().collect()
    }

    /// Returns the counts of the roll-outs in progress, of the nodes that `select` chooses.
    pub fn reported(
        &self,
        select: impl Fn(&NodeCounts<CountKey, TrackCounts>) -> Vec<(CountKey, TrackCounts)>,
    ) -> Vec<ReportedCounts> {
        let mut reported = Vec::new();
        for (service, rollout) in self.known.in_progress() {
            let Some(answers) = self.answers.get(service) else { continue };
            if answers.order != rollout.order {
                continue;
            }
            let counts = select(&answers.counts);
            reported.push(ReportedCounts {
                service: service.clone(),
                order: rollout.order,
                counts,
            });
        }
        reported
    }

    /// Returns the counts of a roll-out, emptied if they were of another order.
    pub fn counts_of(
        &mut self,
        service: &ServiceName,
        order: OrderId,
    ) -> &mut NodeCounts<CountKey, TrackCounts> {
        &mut self.answers_of(service, order).counts
    }

    fn has_current_answers(&self, service: &ServiceName) -> bool {
        let Some(answers) = self.answers.get(service) else { return false };
        let counts = answers.counts.total(Incarnation::default());
        counts.keys().any(|(_, group)| *group == TrackGroup::CURRENT)
    }

    fn answers_of(&mut self, service: &ServiceName, order: OrderId) -> &mut Answers {
        let new = || Answers { order, counts: NodeCounts::default() };
        let answers = self.answers.entry(service.clone()).or_insert_with(new);
        if answers.order != order {
            *answers = new();
        }
        answers
    }

    /// Ends a roll-out. The versions that it replaces are those of the known servers.
    pub fn end(&mut self, service: &ServiceName, phase: RolloutPhase, backends: &Backends) {
        let Some(rollout) = self.known.get_mut(service) else { return };
        if rollout.end(phase) {
            note_ended(service, rollout, backends);
        }
    }
}

/// Notes that a roll-out has reached its final state.
pub fn note_ended(service: &ServiceName, rollout: &mut Rollout, backends: &Backends) {
    if rollout.phase == RolloutPhase::Completed {
        let of_service = backends.iter().filter(|(_, backend)| backend.record.service == *service);
        let versions = of_service.map(|(_, backend)| backend.record.version.clone());
        let mut replaced: Vec<String> =
            versions.filter(|version| *version != rollout.target).collect();
        replaced.sort_unstable();
        replaced.dedup();
        rollout.replaced = replaced;
    }
    meters::rollout_ended(rollout.phase);
    tracing::info!(
        event = Event::RolloutEnded.number(),
        service = service.as_str(),
        target = rollout.target.as_str(),
        phase = ?rollout.phase
    );
}

// The target version's requests go to as many of its servers as its share asks for, so that each is as loaded as
// one of the current version: some versions are bad only under load.
fn target_filter(
    now: Stamp,
    service: &ServiceName,
    rollout: &Rollout,
    backends: &Backends,
) -> VersionFilter {
    let accepting = backends.accepting(service).map(|(_, backend)| backend);
    let target = accepting.filter(|backend| backend.record.version == rollout.target);
    let mut identities: Vec<u64> = target.map(|backend| backend.identity).collect();
    identities.sort_unstable();
    let share = rollout.grant(now).map_or(0.0, |grant| f64::from(grant.per_mille) / 1_000.0);
    let least = min_target_servers(identities.len());
    let used = ((identities.len() as f64 * share).ceil() as usize).max(least);
    let last = used.min(identities.len()).checked_sub(1);
    let max_identity = last.map_or(0, |last| identities[last]);
    VersionFilter::Only { version: rollout.target.clone(), max_identity }
}
