//! Where a request is sent, or that it is refused at once.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::ServiceName;
use bulrushhall_policy::{
    engine_choice::{EngineRequest, EngineView, PREFILL_PER_MS, choose_engine},
    patience::Patience,
    placement::WorkerKey,
    plain_choice::{PlainView, choose_plain},
};

use crate::{
    backends::{Backend, Pool},
    border::Prompt,
    clock,
    gateway::{Gateway, State},
    pipeline::{Failure, identify::Identified, occupancy::Footprint},
    table::{EngineSizes, ServiceEntry},
};

/// The one-way latency to another availability zone, for comparing servers: what the early users
/// have between theirs.
const OTHER_ZONE: Duration = Duration::from_millis(1);
/// The part of an engine's memory that prompts are remembered in; the rest is for those running.
const REMEMBERED_SHARE: f64 = 0.6;
/// The time of an engine for one token of an answer, in a batch of the usual size.
const PER_ANSWER_TOKEN: Duration = Duration::from_micros(400);

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
    /// The expected wait behind others.
    pub wait: Duration,
    /// The backend servers that it was chosen from.
    pub candidates: usize,
}

/// Chooses a backend server that is not among those `tried`, or refuses.
pub fn place(
    gateway: &Gateway,
    req: &Identified,
    service: &ServiceName,
    tried: &[WorkerKey],
    left: Duration,
) -> Result<Place, Failure> {
    let entry = req.table.services.get(service).ok_or(Failure::NoBackend)?;
    gateway.with(|state| match (entry.engine, &req.call.prompt) {
        (Some(sizes), Some(prompt)) => {
            place_engine(gateway, state, req, (service, entry), sizes, prompt, tried, left)
        }
        _ => place_plain(gateway, state, req, (service, entry), tried, left),
    })
}

#[allow(clippy::too_many_arguments)]
fn place_engine(
    gateway: &Gateway,
    state: &mut State,
    req: &Identified,
    (service, entry): (&ServiceName, &ServiceEntry),
    sizes: EngineSizes,
    prompt: &Prompt,
    tried: &[WorkerKey],
    left: Duration,
) -> Result<Place, Failure> {
    let now = clock::now();
    let rank = req.rank();
    let mut views = Vec::new();
    for (key, backend) in state.backends.open(service) {
        if tried.contains(&key) {
            continue;
        }
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
            distance: distance(gateway, backend),
            failing: backend.doubt.failing(),
            avoided: backend.doubt.is_avoided(now),
        });
    }
    let wanted =
        EngineRequest { parts: &prompt.parts, prompt: prompt.tokens, answer: prompt.answer() };
    let mut random = rand::rng();
    let chosen = choose_engine(wanted, &views, &mut random).ok_or(Failure::NoBackend)?;
    if tried.is_empty() {
        // What is refused is demand too: without it the fleet would never grow.
        let read = Duration::from_secs_f64(f64::from(chosen.to_read) / PREFILL_PER_MS / 1_000.0);
        let work = read + PER_ANSWER_TOKEN * prompt.answer();
        state.demand.entry(service.clone()).or_default().note(now, work);
        let patience = Patience {
            target: req.route.cfg.target_latency.into(),
            gap: req.route.cfg.target_gap.map(Duration::from),
            left,
        };
        patience.judge(chosen.wait, &mut random).map_err(Failure::Overloaded)?;
    }
    let remembered = (sizes.memory as f64 * REMEMBERED_SHARE) as u64;
    let backend = state.backends.get_mut(chosen.key).ok_or(Failure::NoBackend)?;
    backend.parts.note(now, &prompt.parts, remembered);
    Ok(Place {
        key: chosen.key,
        name: Arc::clone(&backend.name),
        pool: Arc::clone(&backend.pool),
        connections: part_of(entry.connections, state.members.count()),
        footprint: Footprint {
            rank,
            to_read: chosen.to_read,
            held: prompt.tokens + prompt.answer(),
            expected: Some(chosen.first_token),
        },
        wait: chosen.wait,
        candidates: views.len(),
    })
}

fn place_plain(
    gateway: &Gateway,
    state: &mut State,
    req: &Identified,
    (service, entry): (&ServiceName, &ServiceEntry),
    tried: &[WorkerKey],
    left: Duration,
) -> Result<Place, Failure> {
    let now = clock::now();
    let mut views = Vec::new();
    for (key, backend) in state.backends.open(service) {
        if tried.contains(&key) {
            continue;
        }
        views.push(PlainView {
            key,
            slots: backend.record.slots,
            calls: backend.requests(now),
            distance: distance(gateway, backend),
            failing: backend.doubt.failing(),
            avoided: backend.doubt.is_avoided(now),
        });
    }
    let mut random = rand::rng();
    let (key, wait) = choose_plain(&views, &mut random).ok_or(Failure::NoBackend)?;
    let patience = Patience { target: req.route.cfg.target_latency.into(), gap: None, left };
    patience.judge(wait, &mut random).map_err(Failure::Overloaded)?;
    let backend = state.backends.get(key).ok_or(Failure::NoBackend)?;
    Ok(Place {
        key,
        name: Arc::clone(&backend.name),
        pool: Arc::clone(&backend.pool),
        connections: part_of(entry.connections, state.members.count()),
        footprint: Footprint { rank: req.rank(), ..Footprint::default() },
        wait,
        candidates: views.len(),
    })
}

fn distance(gateway: &Gateway, backend: &Backend) -> Duration {
    let same = backend.record.zone == gateway.settings.gateway.zone;
    if same { Duration::ZERO } else { OTHER_ZONE }
}

// What a backend server takes from all nodes is divided evenly, with one part kept free for a node
// that this one does not know yet.
fn part_of(connections: u32, nodes: usize) -> u32 {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX).saturating_add(1);
    (connections / nodes).max(2)
}
