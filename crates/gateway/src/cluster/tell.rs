//! What a node tells others: of itself, and as a relay of the nodes that it sums up.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_coord::{Role, TeamCounts, Window, usage::WindowSelection};
use bulrushhall_core::{Incarnation, ServiceName, Stamp, TeamName};
use bulrushhall_policy::{parts::PromptPart, quota::QuotaReport};

use crate::{
    clock,
    cluster::{BackendLoad, Digest, DigestScope, HeardLife, as_millis},
    demand::Offered,
    gateway::{Gateway, State},
};

/// For how long a part that was sent is told, so that three of four exchanges may be lost.
const PARTS_TOLD_FOR: Duration = Duration::from_millis(1_000);
/// For how long a part is told where relays pass it on, so that one of two exchanges may be lost.
const PARTS_PASSED_ON_FOR: Duration = Duration::from_millis(450);
/// The exchanges after which all windows of usage are told and not the newest alone.
const ALL_WINDOWS_EACH: u64 = 8;
/// The exchanges after which news that may be late are passed on by relays.
const LATE_NEWS_EACH: u64 = 4;
/// What a team asks for in a second below which it is not told.
const ASKED_LEAST: f64 = 1.0;

/// A `Message` says which digest is wanted.
#[derive(Clone, Copy, Debug)]
pub struct Message {
    /// Which nodes it is about.
    pub scope: DigestScope,
    /// Which nodes the answer shall be about.
    pub reply_scope: DigestScope,
    /// The life that gets it, where it is for one alone.
    pub to: Option<Incarnation>,
}

/// Returns what a node tells.
pub fn digest(gateway: &Gateway, message: Message) -> Digest {
    let now = clock::now();
    let ready = gateway.is_ready();
    let revision = gateway.revision();
    gateway.with(|state| {
        let Message { scope, reply_scope, .. } = message;
        let age = state.freshness.age(now);
        let unlisted = state.members.unlisted(now);
        let mut digest = Digest {
            record: Some(gateway.record()),
            unlisted: unlisted.map(|(name, record)| (name.clone(), record.clone())).collect(),
            wall_clock_ms: as_millis(gateway.own_day()),
            ready,
            revision,
            config_age_ms: age.map(as_millis),
            records_steady_ms: state.records_steady_since.map(|since| as_millis(now.since(since))),
            scope,
            reply_scope,
            records_known: state.relay_cursor(now).filter(|_| reply_scope == DigestScope::Others),
            ..Digest::new(gateway.settings.gateway.name.clone(), gateway.incarnation)
        };
        if scope != DigestScope::Nothing {
            let teller = Teller { gateway, now, message };
            teller.fill(state, &mut digest);
        }
        digest
    })
}

struct Teller<'a> {
    gateway: &'a Gateway,
    now: Stamp,
    message: Message,
}

impl Teller<'_> {
    fn fill(&self, state: &mut State, digest: &mut Digest) {
        digest.heard = self.heard(state);
        digest.nodes = u32::try_from(digest.heard.len() + 1).unwrap_or(u32::MAX);
        for (team, quota) in &state.quotas {
            let told = match self.message.scope {
                DigestScope::Zone => quota.zone_report(self.now),
                DigestScope::Others => quota.report_excluding(self.now, self.receiver()),
                DigestScope::Own | DigestScope::Nothing => quota.report(self.now),
            };
            let QuotaReport { total, demand: asked } = told;
            digest.quotas.push((team.clone(), total));
            if ASKED_LEAST <= asked {
                digest.asked.push((TeamName::clone(team), asked));
            }
        }
        digest.loads = self.loads(state);
        digest.offered = self.offered(state);
        // What only this node knows is lost with it.
        let is_own = self.message.scope == DigestScope::Own;
        if is_own || state.exchanges.is_multiple_of(LATE_NEWS_EACH) {
            digest.usage = self.usage(state);
            for (service, observed) in &state.observed {
                digest
                    .paces
                    .extend(observed.engines.own_model().map(|pace| (service.clone(), pace)));
            }
        }
    }

    // A message that goes to several nodes leaves nobody out.
    fn receiver(&self) -> Incarnation {
        self.message.to.unwrap_or_default()
    }

    fn heard(&self, state: &State) -> Vec<HeardLife> {
        let mut heard = Vec::new();
        let zone = &self.gateway.settings.gateway.zone;
        for (_, member) in state.members.iter() {
            let life = member.record.incarnation;
            let is_told = match self.message.scope {
                DigestScope::Zone => member.record.zone == *zone && member.is_heard_here(self.now),
                DigestScope::Others => life != self.receiver() && member.is_heard(self.now),
                DigestScope::Own | DigestScope::Nothing => false,
            };
            let Some(at) = member.last_received.filter(|_| is_told) else { continue };
            let age_ms = u16::try_from(as_millis(self.now.since(at))).unwrap_or(u16::MAX);
            heard.push(HeardLife { life, ready: member.ready, age_ms });
        }
        heard
    }

    fn loads(&self, state: &mut State) -> Vec<BackendLoad> {
        let (now, scope, receiver) = (self.now, self.message.scope, self.receiver());
        let is_flat = state.relays.role == Role::Flat;
        let told_for = if is_flat { PARTS_TOLD_FOR } else { PARTS_PASSED_ON_FOR };
        let sources = &state.sources;
        let mut loads = Vec::new();
        for (_, backend) in state.backends.iter_mut() {
            let load = match scope {
                DigestScope::Zone => backend.load(now, |life| !sources.contains(life)),
                DigestScope::Others => backend.load(now, |life| life != receiver),
                DigestScope::Own | DigestScope::Nothing => backend.own,
            };
            let mut parts: Vec<PromptPart> = backend.recent.updates(now, told_for);
            if matches!(scope, DigestScope::Zone | DigestScope::Others) {
                parts.extend(backend.recent_near.updates(now, told_for));
            }
            if scope == DigestScope::Others {
                parts.extend(backend.recent_far.updates(now, told_for));
            }
            parts.sort_unstable_by_key(|part| part.id);
            parts.dedup_by_key(|part| part.id);
            if !load.is_empty() || !parts.is_empty() {
                loads.push(BackendLoad { backend: backend.name.to_string(), load, parts });
            }
        }
        loads
    }

    fn offered(&self, state: &mut State) -> Vec<(ServiceName, Offered)> {
        let zone = &self.gateway.settings.gateway.zone;
        let mut sums: BTreeMap<ServiceName, Offered> = BTreeMap::new();
        for (service, demand) in &mut state.demand {
            sums.insert(service.clone(), demand.rate(self.now));
        }
        for (_, member) in state.members.iter() {
            let life = member.record.incarnation;
            let is_told = match self.message.scope {
                DigestScope::Zone => member.record.zone == *zone && !state.sources.contains(life),
                DigestScope::Others => life != self.receiver(),
                DigestScope::Own | DigestScope::Nothing => false,
            };
            if !is_told {
                continue;
            }
            for (service, offered) in &member.offered {
                let sum = sums.entry(service.clone()).or_default();
                *sum = sum.plus(*offered);
            }
        }
        sums.into_iter().collect()
    }

    fn usage(&self, state: &State) -> Vec<(Window, TeamCounts)> {
        let rounds = match self.message.scope {
            DigestScope::Own | DigestScope::Nothing => state.exchanges,
            DigestScope::Zone | DigestScope::Others => state.exchanges / LATE_NEWS_EACH,
        };
        let is_for_all = rounds.is_multiple_of(ALL_WINDOWS_EACH);
        let which = if is_for_all { WindowSelection::All } else { WindowSelection::Newest };
        match self.message.scope {
            DigestScope::Zone => state.usage.of_zone(&self.gateway.settings.gateway.zone, which),
            DigestScope::Others => state.usage.of_others(self.receiver(), which),
            DigestScope::Own | DigestScope::Nothing => {
                state.usage.of(self.gateway.incarnation, which)
            }
        }
    }
}
