//! Backend servers that crash: which requests they had, and whether they ended.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bulrushhall_coord::crashes::{PartId, PartIds};
use bulrushhall_core::{Event, Stamp};
use bulrushhall_policy::placement::WorkerKey;
use tokio::time::sleep;

use crate::{
    backends::{ListenerState, listener_state},
    clock,
    gateway::Gateway,
    pipeline::{IdentifiedRequest, Placement},
};

/// How long broken answers of a server are collected until it is checked whether the server has ended.
const COLLECTING_TIME: Duration = Duration::from_millis(40);

/// `CrashState` is what a node knows of crashes of backend servers.
#[derive(Debug, Default)]
pub struct CrashState {
    /// The parts of the prompts whose answers servers broke off, until it is known whether those have ended.
    broken: HashMap<WorkerKey, Vec<Vec<PartId>>>,
}

/// Notes that a backend server closed its connection before the end of an answer that began at a time, if it began.
pub fn note_broken_answer(
    gateway: &Arc<Gateway>,
    req: &IdentifiedRequest,
    placement: &Placement,
    began_at: Option<Stamp>,
) {
    let Some(prompt) = &req.call.prompt else { return };
    let began = began_at.map(|at| clock::now().since(at));
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
    let key = placement.key;
    let parts = prompt.common_parts().collect();
    let is_first = gateway.with(|state| {
        let broken = state.crashes.broken.entry(key).or_default();
        broken.push(parts);
        broken.len() == 1
    });
    if is_first {
        tokio::spawn(check_server(Arc::clone(gateway), key));
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
    let (broken, name) = gateway.with(|state| {
        let broken = state.crashes.broken.remove(&key).unwrap_or_default();
        (broken, state.backends.get(key).map(|backend| Arc::clone(&backend.name)))
    });
    if listener != ListenerState::Refusing {
        return;
    }
    let Some(name) = name else { return };
    let answers = broken.len();
    let mut parts: Vec<PartId> = broken.into_iter().flatten().collect();
    parts.sort_unstable();
    parts.dedup();
    tracing::warn!(
        event = Event::ServerCrashed.number(),
        backend = &*name,
        answers,
        parts = %PartIds(parts)
    );
}
