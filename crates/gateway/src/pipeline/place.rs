//! Where a request is sent, or that it is refused at once.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bulrushhall_coord::Role;
use bulrushhall_core::{ServiceName, ZoneName};
use bulrushhall_policy::{
    copy_source::{MIN_COPIED_TOKENS, SourceView, choose_source, max_cached_tokens},
    engine_choice::{EngineChoice, EngineRequest, EngineView, choose_engine},
    latency_budget::LatencyBudget,
    placement::WorkerKey,
    server_choice::{ServerView, choose_server},
};

use crate::{
    adapter::Prompt,
    backends::{Backend, Pool},
    clock,
    demand::Offered,
    gateway::{Gateway, State},
    pipeline::{Failure, identify::Identified, occupancy::Footprint},
    table::{EngineSizes, ServiceEntry},
};

/// The one-way latency to another availability zone, for comparing servers: what the early users
/// have between theirs.
const OTHER_ZONE: Duration = Duration::from_millis(1);

/// How old what other nodes told is, on average: half the time between two exchanges.
const NEWS_AGE: Duration = Duration::from_millis(130);
/// The same where it has come through relays: half of that time for each of three ways.
const RELAYED_NEWS_AGE: Duration = Duration::from_millis(320);

/// A `Place` is a chosen backend server.
#[derive(Clone)]
pub struct Place {
    /// The backend server.
    pub key: WorkerKey,
    /// Its name.
    pub name: Arc<str>,
    /// Its connections.
    pub pool: Arc<Pool>,
    /// The most connections that this node may have there.
    pub connections: u32,
    /// What the request takes up there.
    pub footprint: Footprint,
    /// The engine from whose memory it copies what it lacks of the prompt.
    pub copy_from: Option<SocketAddr>,
    /// The expected wait behind others.
    pub wait: Duration,
    /// The time that almost all calls take there, at a plain service.
    pub long_call: Duration,
    /// The backend servers that it was chosen from.
    pub candidates: usize,
}

/// A `Search` is what a backend server is looked for by.
#[derive(Clone, Copy)]
pub struct Search<'a> {
    /// The request.
    pub req: &'a Identified,
    /// The service that it goes to.
    pub service: &'a ServiceName,
    /// The backend servers that got it already.
    pub tried: &'a [WorkerKey],
    /// The time that is left.
    pub left: Duration,
}

/// Chooses a backend server that did not get the request yet, or refuses.
pub fn place(gateway: &Gateway, search: Search<'_>) -> Result<Place, Failure> {
    let entry = search.req.table.services.get(search.service).ok_or(Failure::NoBackend)?;
    let zone = &gateway.settings.gateway.zone;
    gateway.with(|state| match (entry.engine, &search.req.call.prompt) {
        (Some(sizes), Some(prompt)) => {
            let chosen = search.engine(state, zone, sizes, prompt)?;
            search.placed(state, entry, chosen)
        }
        _ => {
            let chosen = search.plain(state, zone)?;
            search.placed(state, entry, chosen)
        }
    })
}

/// A backend server as it was chosen.
struct Chosen {
    key: WorkerKey,
    wait: Duration,
    footprint: Footprint,
    copy_from: Option<SocketAddr>,
    candidates: usize,
}

impl Search<'_> {
    fn engine(
        &self,
        state: &mut State,
        zone: &ZoneName,
        sizes: EngineSizes,
        prompt: &Prompt,
    ) -> Result<Chosen, Failure> {
        let now = clock::now();
        let rank = self.req.rank();
        let mut views = Vec::new();
        for (key, backend) in self.untried(state) {
            views.push(EngineView {
                key,
                identity: backend.identity,
                slots: sizes.slots,
                memory: sizes.memory,
                requests: backend.requests(now),
                waiting_tokens: backend.waiting_before(now, rank),
                held_tokens: backend.held(now),
                cached: backend.parts.cached(&prompt.parts),
                slowness: backend.slowness,
                network_latency: distance(zone, backend),
                failure_rate: backend.circuit_breaker.failure_rate(),
                circuit_open: backend.circuit_breaker.is_open(now),
            });
        }
        let sources = self.sources(state, sizes, prompt);
        let wanted = EngineRequest {
            parts: &prompt.parts,
            prompt_tokens: prompt.tokens,
            answer_tokens: prompt.answer(),
            cached_elsewhere: max_cached_tokens(&sources),
            copied_per_ms: sizes.copied_per_ms,
            model: state.observed(self.service).engines.model(),
            unseen_tokens: self.unseen_tokens(state),
        };
        let mut random = rand::rng();
        let chosen = choose_engine(wanted, &views, &mut random).ok_or(Failure::NoBackend)?;
        if self.tried.is_empty() {
            // What is refused is demand too: without it the fleet would never grow.
            let demand = state.demand.entry(self.service.clone()).or_default();
            let (read, answer) = (f64::from(chosen.prefill_tokens), f64::from(prompt.answer()));
            demand.note(now, Offered { read, answer });
            self.latency_budget()
                .check_wait(chosen.wait, &mut random)
                .map_err(Failure::Overloaded)?;
        }
        let copy_from = copy_from(state, chosen, sources);
        let backend = state.backends.get_mut(chosen.key).ok_or(Failure::NoBackend)?;
        backend.parts.note(now, &prompt.parts, sizes.remembered());
        backend.recent.note(now, prompt.shared_parts());
        let footprint = Footprint {
            rank,
            to_read: chosen.prefill_tokens,
            held: prompt.tokens + prompt.answer(),
            expected: Some(chosen.first_token),
            // Of a prompt that is copied or guessed to be cached, what is read is not known.
            unqueued: chosen.wait.is_zero()
                && chosen.prefill_tokens + chosen.cached == prompt.tokens,
        };
        let (key, wait, candidates) = (chosen.key, chosen.wait, views.len());
        Ok(Chosen { key, wait, footprint, copy_from, candidates })
    }

    // What other nodes have sent since they told of their loads.
    fn unseen_tokens(&self, state: &State) -> f64 {
        let told = state.members.iter().filter_map(|(_, member)| member.offered.get(self.service));
        let per_second: f64 = told.map(|offered| offered.read).sum();
        let age = if state.relays.role == Role::Flat { NEWS_AGE } else { RELAYED_NEWS_AGE };
        per_second * age.as_secs_f64()
    }

    // The engines that keep enough of the prompt to be copied from; none where engines can't copy.
    fn sources(&self, state: &State, sizes: EngineSizes, prompt: &Prompt) -> Vec<SourceView> {
        let mut sources = Vec::new();
        if sizes.copied_per_ms <= 0.0 {
            return sources;
        }
        let now = clock::now();
        for (key, backend) in state.backends.keeping(self.service) {
            let cached = backend.parts.cached(&prompt.parts);
            if cached < MIN_COPIED_TOKENS {
                continue;
            }
            let (requests, failure_rate) =
                (backend.requests(now), backend.circuit_breaker.failure_rate());
            sources.push(SourceView { key, cached, same_zone: false, requests, failure_rate });
        }
        sources
    }

    fn plain(&self, state: &mut State, zone: &ZoneName) -> Result<Chosen, Failure> {
        let now = clock::now();
        let mut views = Vec::new();
        for (key, backend) in self.untried(state) {
            views.push(ServerView {
                key,
                slots: backend.record.slots,
                calls: backend.requests(now),
                network_latency: distance(zone, backend),
                failure_rate: backend.circuit_breaker.failure_rate(),
                circuit_open: backend.circuit_breaker.is_open(now),
            });
        }
        let mut random = rand::rng();
        let call = state.observed(self.service).calls.median();
        let (key, wait) = choose_server(&views, call, &mut random).ok_or(Failure::NoBackend)?;
        self.latency_budget().check_wait(wait, &mut random).map_err(Failure::Overloaded)?;
        let footprint = Footprint { rank: self.req.rank(), ..Footprint::default() };
        Ok(Chosen { key, wait, footprint, copy_from: None, candidates: views.len() })
    }

    fn placed(
        &self,
        state: &mut State,
        entry: &ServiceEntry,
        chosen: Chosen,
    ) -> Result<Place, Failure> {
        let long_call = state.observed(self.service).calls.p95();
        let backend = state.backends.get(chosen.key).ok_or(Failure::NoBackend)?;
        Ok(Place {
            key: chosen.key,
            name: Arc::clone(&backend.name),
            pool: Arc::clone(&backend.pool),
            connections: part_of(entry.connections, state.members.count()),
            footprint: chosen.footprint,
            copy_from: chosen.copy_from,
            wait: chosen.wait,
            long_call,
            candidates: chosen.candidates,
        })
    }

    fn untried<'s>(
        &'s self,
        state: &'s State,
    ) -> impl Iterator<Item = (WorkerKey, &'s Backend)> + 's {
        state.backends.open(self.service).filter(|(key, _)| !self.tried.contains(key))
    }

    fn latency_budget(&self) -> LatencyBudget {
        let cfg = &self.req.route.cfg;
        let gap = cfg.target_gap.map(Duration::from).filter(|_| cfg.kind.is_stream());
        LatencyBudget { target: cfg.target_latency.into(), max_gap: gap, remaining: self.left }
    }
}

// The address of the engine that the chosen one copies from.
fn copy_from(
    state: &State,
    chosen: EngineChoice,
    mut sources: Vec<SourceView>,
) -> Option<SocketAddr> {
    let zone = &state.backends.get(chosen.key)?.record.zone;
    sources.retain(|source| source.key != chosen.key);
    for source in &mut sources {
        let backend = state.backends.get(source.key);
        source.same_zone = backend.is_some_and(|backend| backend.record.zone == *zone);
    }
    let source = choose_source(sources, chosen.cached)?;
    Some(state.backends.get(source.key)?.record.address)
}

fn distance(own: &ZoneName, backend: &Backend) -> Duration {
    if backend.record.zone == *own { Duration::ZERO } else { OTHER_ZONE }
}

// What a backend server takes from all nodes is divided evenly, with one part kept free for a node
// that this one does not know yet.
fn part_of(connections: u32, nodes: usize) -> u32 {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX).saturating_add(1);
    (connections / nodes).max(2)
}
