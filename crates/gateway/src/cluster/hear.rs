//! What a node takes in of what others tell.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bulrushhall_coord::{Role, SourceChoice, UpdateScope, usage::UsageScope};
use bulrushhall_core::{Event, Incarnation, Stamp, TeamName, ZoneName};
use bulrushhall_policy::quota::QuotaReport;

use crate::{
    backends::RecordNews,
    clock,
    cluster::{BackendLoad, Digest, DigestScope, HeardLife, MemberNews, RecordsKnown, as_millis},
    gateway::{Gateway, State},
    meters,
    table::RouteTable,
};

/// For how long another node must have followed the records of backend servers without a failure for
/// its word that the key-value service was not away: twice what records that lapsed take to return.
const STEADY_FOR: Duration = Duration::from_secs(4);
/// The time that the key-value service has to bring a configuration that other nodes have, besides what
/// its size takes.
const SERVICE_FIRST: Duration = Duration::from_millis(500);
/// The bytes of a configuration that the key-value service has a second for.
const SERVICE_RATE: f64 = 1_000_000.0;

/// A `Reading` is the only reading of a configuration from another node, until it is dropped.
pub struct Reading {
    /// The node that reads.
    pub gateway: Arc<Gateway>,
    /// The node that is read from.
    pub address: SocketAddr,
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.gateway.with(|state| state.catch_up.end());
    }
}

/// Takes in what a node told, no earlier than `since` where that is known; returns the reading of its
/// configuration where that is due.
pub fn hear(gateway: &Arc<Gateway>, since: Option<Stamp>, mut told: Digest) -> Option<Reading> {
    let now = clock::now();
    let own = gateway.revision();
    let table = gateway.table.load_full();
    let document = table.as_ref().map(|table| table.document.len());
    gateway.with(|state| {
        let name = &gateway.settings.gateway.name;
        if let Some(record) = told.record.take() {
            state.members.introduce(&told.node, record);
        }
        for (other, record) in told.unlisted.drain(..).filter(|(other, _)| other != name) {
            state.members.note_told(now, &other, record);
        }
        let Some(member) = state.members.get_mut(&told.node) else {
            meters::digest_ignored("unknown");
            return None;
        };
        if told.incarnation < member.record.incarnation {
            meters::digest_ignored("earlier_life");
            return None;
        }
        member.note_message(now, told.ready);
        member.day_ahead = Some(told.wall_clock_ms as i64 - as_millis(gateway.own_day()) as i64);
        let address = member.record.peers;
        let zone = member.record.zone.clone();
        // Only who has the same configuration tells something about the age of this node's, and
        // only in an answer: a message may have been under way for long.
        if let (Some(since), Some(age)) = (since, told.config_age_ms)
            && told.revision == own
        {
            state.freshness.note(since - Duration::from_millis(age));
        }
        let steady = told.records_steady_ms.map(Duration::from_millis);
        if steady.is_some_and(|steady| STEADY_FOR <= steady) {
            state.backends.drop_missing();
        }
        let revision = told.revision;
        let hearing = Hearing { gateway, now, zone, table: table.as_deref() };
        hearing.take(state, told);
        state.catch_up.observe(now, own, revision);
        let patience = document.map_or(Duration::ZERO, patience);
        let patience = if state.config_lost { Duration::ZERO } else { patience };
        let is_due = state.catch_up.begin(now, own, revision, patience);
        is_due.then(|| Reading { gateway: Arc::clone(gateway), address })
    })
}

/// One message that is taken in.
struct Hearing<'a> {
    gateway: &'a Gateway,
    now: Stamp,
    /// The sender's availability zone.
    zone: ZoneName,
    table: Option<&'a RouteTable>,
}

impl Hearing<'_> {
    fn take(&self, state: &mut State, mut told: Digest) {
        for (service, pace) in &told.paces {
            state.observed(service).engines.receive(*pace);
        }
        if told.scope == DigestScope::Nothing {
            return;
        }
        self.take_usage(state, &told);
        if let Some(news) = told.records.take() {
            self.take_records(state, &told, news);
        }
        if !self.is_source(state, &told) {
            return;
        }
        self.take_heard(state, &told.heard);
        self.take_quotas(state, &told);
        if let Some(member) = state.members.get_mut(&told.node) {
            member.offered = told.offered.iter().cloned().collect();
        }
        drop_loads(state, told.incarnation);
        let is_sum = told.scope != DigestScope::Own;
        for load in told.loads {
            self.take_load(state, told.incarnation, is_sum, load);
        }
    }

    // Whether what is told of requests is taken in: each request must count once.
    fn is_source(&self, state: &mut State, told: &Digest) -> bool {
        let is_near = self.zone == self.gateway.settings.gateway.zone;
        let scope = match (told.scope, state.relays.role) {
            (DigestScope::Own, Role::Flat) => return true,
            (DigestScope::Own, Role::Relay) => return is_near,
            (DigestScope::Zone, Role::Relay) if !is_near => UpdateScope::Zone(self.zone.clone()),
            (DigestScope::Others, Role::Flat | Role::Member) => UpdateScope::Others,
            _ => return false,
        };
        match state.sources.offer(self.now, scope, told.incarnation, told.nodes) {
            SourceChoice::Ignored => false,
            SourceChoice::Accepted { previous } => {
                if let Some(previous) = previous {
                    tracing::info!(
                        event = Event::SourceChanged.number(),
                        node = %told.node,
                        nodes = told.nodes,
                        before = previous.0
                    );
                    drop_source(state, previous);
                }
                true
            }
        }
    }

    fn take_records(
        &self,
        state: &mut State,
        told: &Digest,
        (backends, members): (RecordNews, MemberNews),
    ) {
        if state.relays.role != Role::Member {
            return;
        }
        // An answer may come late; what it tells may be older than what is known.
        let fits = match state.relay_cursor(self.now) {
            None => backends.after == 0 && members.after == 0,
            Some(known) => {
                let goes_on = |after, known, at| after <= known && known <= at;
                known.by == told.incarnation
                    && goes_on(backends.after, known.backends, backends.at)
                    && goes_on(members.after, known.members, members.at)
            }
        };
        if !fits {
            return;
        }
        let by = told.incarnation;
        let known = RecordsKnown { by, backends: backends.at, members: members.at };
        state.backends.take_news(backends);
        state.members.take_news(members, &told.node, &self.gateway.settings.gateway.name);
        state.fed_records = Some((known, self.now));
        state.times_fed += 1;
    }

    fn take_usage(&self, state: &mut State, told: &Digest) {
        let of = match told.scope {
            DigestScope::Own => UsageScope::Incarnation(told.incarnation, &self.zone),
            DigestScope::Zone => UsageScope::Zone(&self.zone),
            DigestScope::Others => UsageScope::Others,
            DigestScope::Nothing => return,
        };
        for (window, counts) in &told.usage {
            state.usage.merge(*window, of, counts);
        }
    }

    fn take_heard(&self, state: &mut State, heard: &[HeardLife]) {
        for HeardLife { life, ready, age_ms } in heard {
            let at = self.now - Duration::from_millis((*age_ms).into());
            if let Some(member) = state.members.life_mut(*life) {
                member.note_passed_on(at, *ready);
            }
        }
    }

    fn take_quotas(&self, state: &mut State, told: &Digest) {
        let asked: HashMap<&TeamName, f64> =
            told.asked.iter().map(|(team, asked)| (team, *asked)).collect();
        for (team, total) in &told.quotas {
            let asked = asked.get(team).copied().unwrap_or(0.0);
            let quota_told = QuotaReport { total: *total, demand: asked };
            let quota = state.quota(team);
            match told.scope {
                DigestScope::Own => quota.receive(self.now, told.incarnation, quota_told),
                _ => quota.receive_sum(self.now, told.incarnation, quota_told, told.nodes),
            }
        }
    }

    fn take_load(&self, state: &mut State, life: Incarnation, is_sum: bool, told: BackendLoad) {
        let BackendLoad { backend, load, parts } = told;
        let Some(backend) = state.backends.named_mut(&backend) else { return };
        backend.hear(self.now, life, load);
        let service = self.table.and_then(|table| table.services.get(&backend.record.service));
        let Some(sizes) = service.and_then(|service| service.engine) else { return };
        backend.parts.note(self.now, &parts, sizes.remembered());
        let recent = if is_sum { &mut backend.recent_far } else { &mut backend.recent_near };
        recent.note(self.now, &parts);
    }
}

fn drop_loads(state: &mut State, life: Incarnation) {
    for (_, backend) in state.backends.iter_mut() {
        backend.unhear(life);
    }
}

// Another relay tells of the same requests now.
fn drop_source(state: &mut State, life: Incarnation) {
    drop_loads(state, life);
    if let Some(member) = state.members.life_mut(life) {
        member.offered.clear();
    }
    for quota in state.quotas.values_mut() {
        quota.retain(|peer| peer != life);
    }
}

fn patience(document: usize) -> Duration {
    SERVICE_FIRST + Duration::from_secs_f64(document as f64 / SERVICE_RATE)
}
