//! Creation of digests: of the node itself, and as a relay of the nodes that it aggregates.

use std::time::Duration;

use bulrushhall_coord::{
    FactBatch, FactScope, Role, TeamCounts, Window, streams::VersionsReport, usage::WindowSelection,
};
use bulrushhall_core::{Incarnation, ServiceName, Stamp, TeamName};
use bulrushhall_policy::{parts::PromptPart, quota::QuotaReport};

use crate::{
    brittle::room_reports,
    clock,
    cluster::{BackendLoad, Digest, DigestScope, LiveNode, as_millis},
    crashes::crash_digest,
    gateway::{Gateway, State},
    reported_facts::fill_earlier_fields,
    rollouts::ReportedCounts,
};

/// How long a prompt part is reported after it was sent: three of four digests may be lost.
const PARTS_REPORTED_FOR: Duration = Duration::from_millis(1_000);
/// How long a prompt part is reported when relays are in use: one of two digests may be lost.
const PARTS_RELAYED_FOR: Duration = Duration::from_millis(450);
/// The number of rounds after which all usage windows are reported instead of only the newest.
const ALL_WINDOWS_INTERVAL: u64 = 8;
/// The number of rounds after which relays report values that may be late.
const LATE_VALUES_INTERVAL: u64 = 4;
/// The minimum demand of a team, in quota per second, that is reported.
const MIN_REPORTED_DEMAND: f64 = 1.0;

/// The maximum size of the facts of a digest, in bytes.
const FACTS_BUDGET: usize = 2_000;

/// `DigestOptions` are the scopes and the receiver of a digest.
#[derive(Clone, Copy, Debug)]
pub struct DigestOptions {
    /// The nodes that it is about.
    pub scope: DigestScope,
    /// The nodes that the reply is to be about.
    pub reply_scope: DigestScope,
    /// The incarnation of the receiver, if there is only one.
    pub to: Option<Incarnation>,
}

/// Returns a node's digest.
pub fn build_digest(gateway: &Gateway, options: DigestOptions) -> Digest {
    let now = clock::now();
    let ready = gateway.is_ready();
    let revision = gateway.revision();
    gateway.with(|state| {
        let DigestOptions { scope, reply_scope, .. } = options;
        let age = state.freshness.age(now);
        let unlisted = state.members.unlisted(now);
        let mut digest = Digest {
            record: Some(gateway.record()),
            unlisted: unlisted.map(|(name, record)| (name.clone(), record.clone())).collect(),
            wall_clock_ms: as_millis(gateway.own_wall_clock()),
            ready,
            revision,
            config_age_ms: age.map(as_millis),
            records_steady_ms: state.records_steady_since.map(|since| as_millis(now.since(since))),
            era: state.eras.current(),
            era_age_ms: state.eras.restored_at().map(|at| as_millis(now.since(at))),
            watches: state.watches.report(now, state.eras.current()),
            rollouts: state.rollouts.known.reports(now),
            leaving_backends: state.backends.leaving_reports(now),
            backend_limits: state.backends.limit_reports(now, state.gossip_rounds),
            brittle_services: state.brittle.reports(now, state.gossip_rounds),
            rooms: room_reports(state, now),
            lost_services: own_lost_services(gateway, state),
            versions: versions_report(state, now),
            ended_retries: state.retries.ended(now),
            crashes: Some(crash_digest(state, now)),
            facts: Some(FactBatch::default()),
            scope,
            reply_scope,
            record_cursor: match reply_scope {
                DigestScope::Others => state.requested_cursor(now, gateway.incarnation),
                _ => None,
            },
            ..Digest::new(gateway.settings.gateway.name.clone(), gateway.incarnation)
        };
        if scope != DigestScope::Nothing {
            let builder = DigestBuilder { gateway, now, options };
            builder.fill(state, &mut digest);
        }
        digest
    })
}

fn versions_report(state: &State, now: Stamp) -> Option<VersionsReport> {
    let is_due = state.streams.reports_versions(now, state.gossip_rounds);
    is_due.then(|| state.streams.versions.report(now)).flatten()
}

fn own_lost_services(gateway: &Gateway, state: &State) -> Vec<(Incarnation, Vec<ServiceName>)> {
    let lost: Vec<ServiceName> = state.reachability.lost_services().cloned().collect();
    if lost.is_empty() { Vec::new() } else { vec![(gateway.incarnation, lost)] }
}

struct DigestBuilder<'a> {
    gateway: &'a Gateway,
    now: Stamp,
    options: DigestOptions,
}

impl DigestBuilder<'_> {
    fn fill(&self, state: &mut State, digest: &mut Digest) {
        self.fill_live_nodes(state, digest);
        digest.nodes = u32::try_from(digest.live_nodes.len() + 1).unwrap_or(u32::MAX);
        for (team, quota) in &state.quotas {
            let report = match self.options.scope {
                DigestScope::Zone => quota.zone_report(self.now),
                DigestScope::Others => quota.report_excluding(self.now, self.receiver()),
                DigestScope::Own | DigestScope::Nothing => quota.report(self.now),
            };
            let QuotaReport { total, demand } = report;
            digest.quotas.push((team.clone(), total));
            if MIN_REPORTED_DEMAND <= demand {
                digest.quota_demands.push((TeamName::clone(team), demand));
            }
        }
        digest.loads = self.loads(state);
        digest.facts = Some(self.facts(state));
        if state.members.has_earlier_version(self.now) {
            fill_earlier_fields(state, self.now, &self.fact_scope(), digest);
        }
        digest.rollout_counts = self.rollout_counts(state);
        // The values of this node itself are reported in every round: nobody else knows them, so they
        // would be lost with it.
        let is_own = self.options.scope == DigestScope::Own;
        if is_own || state.gossip_rounds.is_multiple_of(LATE_VALUES_INTERVAL) {
            digest.usage = self.usage(state);
        }
    }

    // A digest for several nodes excludes none of them.
    fn receiver(&self) -> Incarnation {
        self.options.to.unwrap_or_default()
    }

    fn fill_live_nodes(&self, state: &State, digest: &mut Digest) {
        let mut live_nodes = Vec::new();
        let zone = &self.gateway.settings.gateway.zone;
        for (_, member) in state.members.iter() {
            let incarnation = member.record.incarnation;
            let is_included = match self.options.scope {
                DigestScope::Zone => member.record.zone == *zone && member.is_live_direct(self.now),
                DigestScope::Others => incarnation != self.receiver() && member.is_live(self.now),
                DigestScope::Own | DigestScope::Nothing => false,
            };
            let Some(at) = member.last_received.filter(|_| is_included) else { continue };
            let age_ms = u16::try_from(as_millis(self.now.since(at))).unwrap_or(u16::MAX);
            live_nodes.push(LiveNode { incarnation, ready: member.ready, age_ms });
            if !member.lost_services.is_empty() {
                let lost = member.lost_services.iter().cloned().collect();
                digest.lost_services.push((incarnation, lost));
            }
        }
        digest.live_nodes = live_nodes;
    }

    fn loads(&self, state: &mut State) -> Vec<BackendLoad> {
        let (now, scope, receiver) = (self.now, self.options.scope, self.receiver());
        let is_flat = state.relays.role == Role::Flat;
        let reported_for = if is_flat { PARTS_REPORTED_FOR } else { PARTS_RELAYED_FOR };
        let sources = &state.sources;
        let mut loads = Vec::new();
        for (_, backend) in state.backends.iter_mut() {
            let load = match scope {
                DigestScope::Zone => {
                    backend.load(now, |incarnation| !sources.contains(incarnation))
                }
                DigestScope::Others => backend.load(now, |incarnation| incarnation != receiver),
                DigestScope::Own | DigestScope::Nothing => backend.own,
            };
            let mut parts: Vec<PromptPart> = backend.recent.updates(now, reported_for);
            if matches!(scope, DigestScope::Zone | DigestScope::Others) {
                parts.extend(backend.recent_direct.updates(now, reported_for));
            }
            if scope == DigestScope::Others {
                parts.extend(backend.recent_relayed.updates(now, reported_for));
            }
            parts.sort_unstable_by_key(|part| part.id);
            parts.dedup_by_key(|part| part.id);
            if !load.is_empty() || !parts.is_empty() {
                loads.push(BackendLoad { backend: backend.name.to_string(), load, parts });
            }
        }
        loads
    }

    fn facts(&self, state: &mut State) -> FactBatch {
        let scope = self.fact_scope();
        if matches!(scope, FactScope::Zone(_)) && state.relays.role == Role::Flat {
            // This node holds the facts of all nodes, whatever their availability zones.
            return FactBatch::default();
        }
        match self.options.to {
            Some(receiver) => state.facts.batch_to(self.now, &scope, receiver, FACTS_BUDGET),
            None => state.facts.batch(self.now, &scope, FACTS_BUDGET),
        }
    }

    fn fact_scope(&self) -> FactScope {
        match self.options.scope {
            DigestScope::Zone => FactScope::Zone(self.gateway.settings.gateway.zone.clone()),
            DigestScope::Others => FactScope::Others(self.receiver()),
            DigestScope::Own | DigestScope::Nothing => FactScope::Own,
        }
    }

    fn rollout_counts(&self, state: &State) -> Vec<ReportedCounts> {
        let zone = &self.gateway.settings.gateway.zone;
        state.rollouts.reported(|counts| {
            let selected = match self.options.scope {
                DigestScope::Zone => counts.of_zone(zone, None),
                DigestScope::Others => counts.of_all(Some(self.receiver())),
                DigestScope::Own | DigestScope::Nothing => counts.of(self.gateway.incarnation),
            };
            selected.into_iter().collect()
        })
    }

    fn usage(&self, state: &State) -> Vec<(Window, TeamCounts)> {
        let rounds = match self.options.scope {
            DigestScope::Own | DigestScope::Nothing => state.gossip_rounds,
            DigestScope::Zone | DigestScope::Others => state.gossip_rounds / LATE_VALUES_INTERVAL,
        };
        let reports_all = rounds.is_multiple_of(ALL_WINDOWS_INTERVAL);
        let selection = if reports_all { WindowSelection::All } else { WindowSelection::Newest };
        match self.options.scope {
            DigestScope::Zone => {
                state.usage.of_zone(&self.gateway.settings.gateway.zone, selection)
            }
            DigestScope::Others => state.usage.of_others(self.receiver(), selection),
            DigestScope::Own | DigestScope::Nothing => {
                state.usage.of(self.gateway.incarnation, selection)
            }
        }
    }
}
