//! Processing of received digests.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bulrushhall_coord::{
    CountScope, FactScope, Role, SourceChoice, UpdateScope, Window,
    facts::FactRefusal,
    rollouts::{RolloutPhase, RolloutReport},
    usage::RETAINED_WINDOWS,
};
use bulrushhall_core::{
    Event, Incarnation, ServiceName, Stamp, TeamName, ZoneName, bounded_seconds,
};
use bulrushhall_policy::quota::QuotaReport;

use crate::{
    announcements::{receive_leaving, receive_limits},
    backends::BackendUpdates,
    brittle, clock,
    cluster::{BackendLoad, Digest, DigestScope, LiveNode, MemberUpdates, RecordCursor, as_millis},
    crashes::receive_crashes,
    gateway::{Gateway, State},
    meters,
    reported_facts::{apply_received, receive_earlier_fields},
    retries::receive_ended,
    rollouts::{ReportedCounts, note_ended},
    startup::Stage,
    streams::note_active,
    table::RouteTable,
};

/// How long another node must have followed the records of backend servers without a failure to prove
/// that the key-value service had no outage: twice the time in which expired records are rewritten.
const MIN_STEADY: Duration = Duration::from_secs(4);
/// The head start of the key-value service over other nodes in the delivery of a newer configuration,
/// in addition to the transfer time.
const KEY_VALUE_HEAD_START: Duration = Duration::from_millis(500);
/// The bytes of a configuration for which the key-value service gets another second.
const KEY_VALUE_BYTES_PER_S: f64 = 1_000_000.0;
/// The windows by which the counts of another node may be ahead: half of those that are kept, since newer windows replace
/// the oldest ones.
const MAX_WINDOW_LEAD: u64 = RETAINED_WINDOWS / 2;

/// A `DocumentFetch` is the permission to fetch a configuration from another node; there is one at a time.
pub struct DocumentFetch {
    /// The node that fetches.
    pub gateway: Arc<Gateway>,
    /// The address of the node that is read from.
    pub address: SocketAddr,
}

impl Drop for DocumentFetch {
    fn drop(&mut self) {
        self.gateway.with(|state| state.catch_up.end());
    }
}

/// Applies a digest, which was made no earlier than `since` if that is known; returns the fetch of the
/// sender's configuration if one is due.
pub fn receive_digest(
    gateway: &Arc<Gateway>,
    since: Option<Stamp>,
    mut digest: Digest,
) -> Option<DocumentFetch> {
    let now = clock::now();
    let own = gateway.revision();
    receive_era(gateway, now, &digest);
    let table = gateway.table.load_full();
    let document = table.as_ref().map(|table| table.document.len());
    let newest_window = Window(gateway.window().0.saturating_add(MAX_WINDOW_LEAD));
    gateway.with(|state| {
        note_active(state, now);
        let name = &gateway.settings.gateway.name;
        if let Some(record) = digest.record.take() {
            state.members.note_self_reported(&digest.node, record);
        }
        for (other, record) in digest.unlisted.drain(..).filter(|(other, _)| other != name) {
            state.members.note_reported(now, &other, record);
        }
        let Some(member) = state.members.get_mut(&digest.node) else {
            meters::digest_ignored("unknown");
            return None;
        };
        if digest.incarnation < member.record.incarnation {
            meters::digest_ignored("earlier_life");
            return None;
        }
        member.note_digest(now, digest.ready);
        state.startup.note(now, Stage::PeerHeard);
        member.lost_services = lost_services(&digest.lost_services, digest.incarnation);
        member.sends_facts = digest.facts.is_some();
        let offset = digest.wall_clock_ms.checked_signed_diff(as_millis(gateway.own_wall_clock()));
        member.clock_offset_ms = offset.or(member.clock_offset_ms);
        if let Some(versions) = &digest.versions {
            state.streams.versions.receive(now, versions);
            state.streams.confirmations.note(now, digest.incarnation, versions);
        }
        member.block_mark = digest.crashes.as_ref().map(|crashes| crashes.mark);
        if let Some(crashes) = digest.crashes.take() {
            receive_crashes(gateway, state, now, crashes);
        }
        receive_rollouts(state, now, digest.rollouts.drain(..));
        receive_leaving(state, std::mem::take(&mut digest.leaving_backends));
        receive_limits(state, now, name, std::mem::take(&mut digest.backend_limits));
        let brittle_services = std::mem::take(&mut digest.brittle_services);
        let rooms = std::mem::take(&mut digest.rooms);
        brittle::receive(state, now, name, brittle_services, rooms);
        receive_ended(gateway, state, std::mem::take(&mut digest.ended_retries));
        let member = state.members.get_mut(&digest.node)?;
        let address = member.record.peers;
        let zone = member.record.zone.clone();
        // Only a node with the same revision proves the age of this node's configuration, and only in a
        // reply: the transit time of a request is not known.
        if let (Some(since), Some(age)) = (since, digest.config_age_ms)
            && digest.revision == own
        {
            state.note_config_newest(since - Duration::from_millis(age));
        }
        if let Some(since) = since {
            state.watches.receive((since, now), &digest.node, digest.era, digest.watches);
        }
        let steady = digest.records_steady_ms.map(Duration::from_millis);
        if steady.is_some_and(|steady| MIN_STEADY <= steady) {
            state.backends.drop_missing();
        }
        let revision = digest.revision;
        let received =
            ReceivedDigest { gateway, now, zone, table: table.as_deref(), newest_window };
        received.apply(state, digest);
        state.catch_up.observe(now, own, revision);
        let head_start = document.map_or(Duration::ZERO, head_start);
        let head_start = if state.config_lost { Duration::ZERO } else { head_start };
        let is_due = state.catch_up.begin(now, own, revision, head_start);
        is_due.then(|| DocumentFetch { gateway: Arc::clone(gateway), address })
    })
}

fn receive_rollouts(state: &mut State, now: Stamp, reports: impl Iterator<Item = RolloutReport>) {
    for report in reports {
        // No later order would replace it.
        let era = report.order.era.filter(|_| state.eras.current().is_some());
        if era.is_some_and(|era| !state.eras.is_plausible(era)) {
            meters::digest_ignored("era");
            continue;
        }
        let service = report.service.clone();
        let State { rollouts, backends, .. } = &mut *state;
        if !rollouts.known.receive(now, report) {
            continue;
        }
        let Some(rollout) = rollouts.known.get_mut(&service) else { continue };
        if rollout.phase != RolloutPhase::InProgress {
            note_ended(&service, rollout, backends);
        }
    }
}

// Learns of a restored key-value service from a node that has seen it already.
fn receive_era(gateway: &Gateway, now: Stamp, digest: &Digest) {
    let Some(era) = digest.era else { return };
    let own = gateway.era();
    if own < Some(era) {
        if own.is_none() || !gateway.with(|state| state.eras.is_plausible(era)) {
            meters::digest_ignored("era");
            return;
        }
        gateway.platform.key_value.note_era(era);
        gateway.era();
    }
    if let Some(age_ms) = digest.era_age_ms {
        gateway.with(|state| state.eras.receive(now, era, Duration::from_millis(age_ms)));
    }
}

/// One received digest.
struct ReceivedDigest<'a> {
    gateway: &'a Gateway,
    now: Stamp,
    /// The sender's availability zone.
    zone: ZoneName,
    table: Option<&'a RouteTable>,
    /// The newest usage window that may have counts.
    newest_window: Window,
}

impl ReceivedDigest<'_> {
    fn apply(&self, state: &mut State, mut digest: Digest) {
        for (service, model) in &digest.latency_models {
            state.observed(service).engines.receive(*model);
        }
        if digest.scope == DigestScope::Nothing {
            return;
        }
        self.apply_usage(state, &digest);
        self.apply_rollout_counts(state, &digest);
        if let Some(updates) = digest.records.take() {
            self.apply_records(state, &digest, updates);
        }
        if !self.is_source(state, &digest) {
            if let Some(batch) = &digest.facts {
                state.facts.receive_acknowledgements(self.now, digest.incarnation, batch);
            }
            return;
        }
        self.apply_live_nodes(state, &digest);
        self.apply_quotas(state, &digest);
        self.apply_facts(state, &digest);
        drop_loads(state, digest.incarnation);
        let is_aggregate = digest.scope != DigestScope::Own;
        for load in digest.loads {
            self.apply_load(state, digest.incarnation, is_aggregate, load);
        }
    }

    // Returns whether the loads and counts of the digest are applied: each request must count only once.
    fn is_source(&self, state: &mut State, digest: &Digest) -> bool {
        let is_same_zone = self.zone == self.gateway.settings.gateway.zone;
        let scope = match (digest.scope, state.relays.role) {
            (DigestScope::Own, Role::Flat) => return true,
            (DigestScope::Own, Role::Relay) => return is_same_zone,
            (DigestScope::Zone, Role::Relay) if !is_same_zone => {
                UpdateScope::Zone(self.zone.clone())
            }
            (DigestScope::Others, Role::Flat | Role::Member) => UpdateScope::Others,
            _ => return false,
        };
        match state.sources.offer(self.now, scope, digest.incarnation, digest.nodes) {
            SourceChoice::Ignored => false,
            SourceChoice::Accepted { previous } => {
                if let Some(previous) = previous {
                    tracing::info!(
                        event = Event::SourceChanged.number(),
                        node = %digest.node,
                        nodes = digest.nodes,
                        before = previous.0
                    );
                    drop_source(state, previous);
                }
                true
            }
        }
    }

    fn apply_records(
        &self,
        state: &mut State,
        digest: &Digest,
        (backends, members): (BackendUpdates, MemberUpdates),
    ) {
        if state.relays.role != Role::Member {
            return;
        }
        // A late reply may hold older records than those known.
        let is_continuation = match state.relay_cursor(self.now) {
            None => backends.after == 0 && members.after == 0,
            Some(cursor) => {
                let continues = |after, known, at| after <= known && known <= at;
                cursor.relay == digest.incarnation
                    && continues(backends.after, cursor.backends, backends.at)
                    && continues(members.after, cursor.members, members.at)
            }
        };
        if !is_continuation {
            return;
        }
        let relay = digest.incarnation;
        let cursor = RecordCursor { relay, backends: backends.at, members: members.at };
        state.backends.apply_updates(self.now, backends);
        state.members.apply_updates(members, &digest.node, &self.gateway.settings.gateway.name);
        state.relayed_records = Some((cursor, self.now));
        state.records_requested_at = None;
        state.relayed_update_count += 1;
        state.startup.note(self.now, Stage::ServersListed);
    }

    fn count_scope(&self, digest: &Digest) -> Option<CountScope<'_>> {
        match digest.scope {
            DigestScope::Own => Some(CountScope::Incarnation(digest.incarnation, &self.zone)),
            DigestScope::Zone => Some(CountScope::Zone(&self.zone)),
            DigestScope::Others => Some(CountScope::Others),
            DigestScope::Nothing => None,
        }
    }

    fn apply_rollout_counts(&self, state: &mut State, digest: &Digest) {
        let Some(of) = self.count_scope(digest) else { return };
        for ReportedCounts { service, order, counts } in &digest.rollout_counts {
            let known = state.rollouts.known.get(service);
            if known.is_none_or(|rollout| rollout.order != *order) {
                meters::digest_ignored("rollout");
                continue;
            }
            let counts = counts.iter().cloned().collect();
            state.rollouts.counts_of(service, *order).merge(of, &counts);
        }
    }

    fn apply_usage(&self, state: &mut State, digest: &Digest) {
        let Some(of) = self.count_scope(digest) else { return };
        for (window, counts) in &digest.usage {
            if self.newest_window < *window {
                meters::digest_ignored("window");
                continue;
            }
            state.usage.merge(*window, of, counts);
        }
    }

    fn apply_live_nodes(&self, state: &mut State, digest: &Digest) {
        for LiveNode { incarnation, ready, age_ms } in &digest.live_nodes {
            let at = self.now - Duration::from_millis((*age_ms).into());
            let Some(member) = state.members.by_incarnation_mut(*incarnation) else { continue };
            if member.note_relayed(at, *ready) {
                member.lost_services = lost_services(&digest.lost_services, *incarnation);
            }
        }
    }

    fn apply_quotas(&self, state: &mut State, digest: &Digest) {
        let demands: HashMap<&TeamName, f64> =
            digest.quota_demands.iter().map(|(team, demand)| (team, *demand)).collect();
        for (team, total) in &digest.quotas {
            let demand = demands.get(team).copied().unwrap_or(0.0);
            let report = QuotaReport { total: *total, demand };
            if !report.is_finite() {
                meters::digest_ignored("quota");
                continue;
            }
            let quota = state.quota(team);
            match digest.scope {
                DigestScope::Own => quota.receive(self.now, digest.incarnation, report),
                _ => quota.receive_sum(self.now, digest.incarnation, report, digest.nodes),
            }
        }
    }

    fn apply_facts(&self, state: &mut State, digest: &Digest) {
        let scope = match digest.scope {
            DigestScope::Zone => FactScope::Zone(self.zone.clone()),
            DigestScope::Others => FactScope::Others(self.gateway.incarnation),
            DigestScope::Own | DigestScope::Nothing => FactScope::Own,
        };
        let sender = digest.incarnation;
        let Some(batch) = &digest.facts else {
            receive_earlier_fields(state, self.now, &scope, digest);
            return;
        };
        if !state.members.is_known(sender) {
            meters::facts_refused(FactRefusal::UnknownSender);
            return;
        }
        match state.facts.receive(self.now, sender, scope, batch) {
            Ok(received) => {
                if 0 < received.excess_subjects {
                    meters::facts_refused(FactRefusal::TooManySubjects);
                }
                if 0 < received.applied {
                    apply_received(state, self.now);
                }
            }
            Err(refusal) => meters::facts_refused(refusal),
        }
    }

    fn apply_load(
        &self,
        state: &mut State,
        incarnation: Incarnation,
        is_aggregate: bool,
        reported: BackendLoad,
    ) {
        let BackendLoad { backend, load, parts } = reported;
        let Some(backend) = state.backends.named_mut(&backend) else { return };
        backend.note_reported(self.now, incarnation, load);
        let service = self.table.and_then(|table| table.services.get(&backend.record.service));
        let Some(sizes) = service.and_then(|service| service.engine) else { return };
        backend.parts.note(self.now, &parts, sizes.prefix_cache_tokens());
        let recent =
            if is_aggregate { &mut backend.recent_relayed } else { &mut backend.recent_direct };
        recent.note(self.now, &parts);
    }
}

fn lost_services(
    reports: &[(Incarnation, Vec<ServiceName>)],
    node: Incarnation,
) -> BTreeSet<ServiceName> {
    let reported = reports.iter().filter(|(incarnation, _)| *incarnation == node);
    reported.flat_map(|(_, lost)| lost).cloned().collect()
}

fn drop_loads(state: &mut State, incarnation: Incarnation) {
    for (_, backend) in state.backends.iter_mut() {
        backend.clear_reported(incarnation);
    }
}

// Drops the loads and counts of a source that another relay replaces.
fn drop_source(state: &mut State, incarnation: Incarnation) {
    drop_loads(state, incarnation);
    for quota in state.quotas.values_mut() {
        quota.retain(|peer| peer != incarnation);
    }
}

fn head_start(document: usize) -> Duration {
    KEY_VALUE_HEAD_START + bounded_seconds(document as f64 / KEY_VALUE_BYTES_PER_S)
}
