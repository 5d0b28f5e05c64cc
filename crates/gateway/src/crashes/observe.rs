//! Observation of answers: those that come to their end, and those that are broken off when a server crashes.

use std::{sync::Arc, time::Duration};

use bulrushhall_coord::crashes::{CrashedRequest, PartId, PartIds};
use bulrushhall_core::{Event, Stamp};
use bulrushhall_policy::placement::WorkerKey;
use tokio::time::sleep;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    backends::{ListenerState, listener_state},
    clock,
    cluster::as_millis,
    crashes::lift,
    gateway::Gateway,
    meters,
    pipeline::{IdentifiedRequest, Placement},
};

/// How long broken answers of a server are collected until it is checked whether the server has ended.
const COLLECTING_TIME: Duration = Duration::from_millis(40);
/// The time after which an answer that is being written has not crashed its server.
const BEGINNING: Duration = Duration::from_secs(2);

/// Notes that a backend server closed its connection before the end of an answer; the request was sent at the first time, and
/// the answer began at the second one, if it began.
pub fn note_broken_answer(
    gateway: &Arc<Gateway>,
    req: &IdentifiedRequest,
    placement: &Placement,
    (sent_at, began_at): (Stamp, Option<Stamp>),
) {
    let Some(prompt) = &req.call.prompt else { return };
    let now = clock::now();
    let began = began_at.map(|at| now.since(at));
    tracing::info!(
        event = Event::AnswerBroken.number(),
        id = req.call.id.as_str(),
        backend = &*placement.name,
        parts = %prompt.part_ids(),
        began_ms = began.map(|began| began.as_secs_f64() * 1_000.0)
    );
    // The connection to a node that carries the request tells nothing of the server.
    if placement.carrier.is_some() {
        return;
    }
    let parts: Vec<PartId> = prompt.common_parts().collect();
    if began.is_some_and(|began| BEGINNING <= began) {
        gateway.with(|state| state.crashes.watch.outcomes.note_sound(now, parts));
        return;
    }
    let age_ms = as_millis(now.since(sent_at));
    let begun_ms = began.map(as_millis);
    let request = xxh3_64(req.call.id.as_bytes());
    note_broken(gateway, placement.key, CrashedRequest { request, age_ms, begun_ms, parts });
}

/// Notes a request whose answer a backend server broke off.
pub fn note_broken(gateway: &Arc<Gateway>, key: WorkerKey, req: CrashedRequest) {
    let is_first = gateway.with(|state| {
        let broken = state.crashes.broken.entry(key).or_default();
        broken.push(req);
        broken.len() == 1
    });
    if is_first {
        tokio::spawn(check_server(Arc::clone(gateway), key));
    }
}

/// Notes that an answer of a backend server came to its end; `is_delimited` tells whether its end could be told from a
/// connection that was closed.
pub fn note_whole_answer(gateway: &Gateway, req: &IdentifiedRequest, is_delimited: bool) {
    let Some(prompt) = &req.call.prompt else { return };
    if !is_delimited {
        return;
    }
    let now = clock::now();
    gateway.with(|state| state.crashes.watch.outcomes.note_sound(now, prompt.common_parts()));
    if let Some(parts) = &req.probe {
        lift(gateway, parts, "probe");
    }
}

// A server that broke off one answer still accepts connections.
async fn check_server(gateway: Arc<Gateway>, key: WorkerKey) {
    sleep(COLLECTING_TIME).await;
    let address =
        gateway.with(|state| state.backends.get(key).map(|backend| backend.record.address));
    let listener = match address {
        Some(address) => listener_state(address).await,
        None => ListenerState::Unknown,
    };
    let now = clock::now();
    let crash = gateway.with(|state| {
        let requests = state.crashes.broken.remove(&key).unwrap_or_default();
        let backend = state.backends.get(key)?;
        // A server that leaves as announced may end with answers unfinished.
        if listener != ListenerState::Refusing || !backend.accepts_work() {
            return None;
        }
        let name = Arc::clone(&backend.name);
        let server = xxh3_64_with_seed(name.as_bytes(), backend.record.born.unwrap_or_default());
        state.crashes.watch.note_crash(now, gateway.incarnation, server, requests.clone());
        Some((name, requests))
    });
    let Some((name, requests)) = crash else { return };
    meters::server_crashed();
    let answers = requests.len();
    let mut parts: Vec<PartId> = requests.into_iter().flat_map(|req| req.parts).collect();
    parts.sort_unstable();
    parts.dedup();
    tracing::warn!(
        event = Event::ServerCrashed.number(),
        backend = &*name,
        answers,
        parts = %PartIds(parts)
    );
}
