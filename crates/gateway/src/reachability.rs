//! Which services this node has lost its way to: the evidence, and the probes that complete it.

use std::{collections::HashMap, sync::Arc};

use bulrushhall_core::{Event, ServiceName};
use bulrushhall_policy::{
    placement::WorkerKey,
    reachability::{ProbeStep, Reachability, ReachabilityOptions},
};
use futures_util::future::join_all;
use tokio::time::sleep;

use crate::{
    backends::{Backends, OpenError},
    clock,
    gateway::{Gateway, State},
    meters,
};

/// A `ServiceReachability` is the evidence of this node about all services.
#[derive(Debug, Default)]
pub struct ServiceReachability {
    services: HashMap<ServiceName, Reachability>,
}

impl ServiceReachability {
    /// Returns whether this node has lost its way to all servers of a service.
    pub fn is_lost(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(Reachability::is_lost)
    }

    /// Returns the services that this node has lost its way to.
    pub fn lost_services(&self) -> impl Iterator<Item = &ServiceName> {
        let lost = self.services.iter().filter(|(_, reachability)| reachability.is_lost());
        lost.map(|(service, _)| service)
    }

    fn of(&mut self, service: &ServiceName) -> &mut Reachability {
        self.services.entry(service.clone()).or_default()
    }
}

/// Notes that a new connection to a backend server was opened.
pub fn note_opened(gateway: &Gateway, key: WorkerKey) {
    let now = clock::now();
    let regained = gateway.with(|state| {
        let service = state.backends.get(key)?.record.service.clone();
        let is_regained = state.reachability.of(&service).note_opened(now);
        is_regained.then_some(service)
    });
    let Some(service) = regained else { return };
    tracing::info!(event = Event::ServersReached.number(), service = service.as_str());
    meters::services_lost(gateway.with(|state| state.reachability.lost_services().count()));
}

/// Notes that no connection to a backend server could be opened, and begins to probe the others of its service.
pub fn note_unreachable(gateway: &Arc<Gateway>, key: WorkerKey) {
    let now = clock::now();
    let options = ReachabilityOptions::default();
    let noted = gateway.with(|state| {
        let service = state.backends.get(key)?.record.service.clone();
        let State { backends, reachability, .. } = state;
        let known = accepting(backends, &service);
        let is_lost = reachability.of(&service).note_unreachable(now, key, known, options);
        Some((service, is_lost))
    });
    let Some((service, is_lost)) = noted else { return };
    if is_lost {
        tracing::warn!(event = Event::ServersLost.number(), service = service.as_str());
        meters::services_lost(gateway.with(|state| state.reachability.lost_services().count()));
        // Kept connections that hang look sound until a request is lost on them.
        gateway.with(|state| close_idle(&state.backends, &service));
        // What cuts a node off from one service mostly cuts it off from all.
        for other in gateway.with(|state| services(&state.backends)) {
            suspect(gateway, &other);
        }
    }
    suspect(gateway, &service);
}

/// Begins to probe the service of a server whose response is overdue.
pub fn suspect_server(gateway: &Arc<Gateway>, key: WorkerKey) {
    let service = gateway.with(|state| Some(state.backends.get(key)?.record.service.clone()));
    if let Some(service) = service {
        suspect(gateway, &service);
    }
}

/// Begins to probe a service that may have been lost, unless that is going on.
pub fn suspect(gateway: &Arc<Gateway>, service: &ServiceName) {
    let (now, options) = (clock::now(), ReachabilityOptions::default());
    if gateway.with(|state| state.reachability.of(service).begin_probing(now, options)) {
        tokio::spawn(probe_service(Arc::clone(gateway), service.clone()));
    }
}

/// Returns whether `lost` holds all services that have servers.
pub fn is_isolated<'a>(state: &State, lost: impl IntoIterator<Item = &'a ServiceName>) -> bool {
    let lost: Vec<&ServiceName> = lost.into_iter().collect();
    if lost.is_empty() {
        return false;
    }
    let services = services(&state.backends);
    services.iter().all(|service| lost.contains(&service))
}

/// Begins to probe the services that are lost and are not being probed, once a gossip round: a loss ends by probes only.
pub fn probe_lost(gateway: &Arc<Gateway>) {
    let lost: Vec<ServiceName> =
        gateway.with(|state| state.reachability.lost_services().cloned().collect());
    for service in lost {
        suspect(gateway, &service);
    }
}

/// The prober of a service, as long as it is not dropped.
struct Prober {
    gateway: Arc<Gateway>,
    service: ServiceName,
    has_ended: bool,
}

impl Drop for Prober {
    fn drop(&mut self) {
        if !self.has_ended {
            self.gateway.with(|state| state.reachability.of(&self.service).end_probing());
        }
        meters::services_lost(
            self.gateway.with(|state| state.reachability.lost_services().count()),
        );
    }
}

async fn probe_service(gateway: Arc<Gateway>, service: ServiceName) {
    let options = ReachabilityOptions::default();
    let mut prober =
        Prober { gateway: Arc::clone(&gateway), service: service.clone(), has_ended: false };
    for rounds in 0.. {
        let step = gateway.with(|state| {
            let State { backends, reachability, .. } = state;
            let known = accepting(backends, &service);
            reachability.of(&service).next_probe(rounds, known, options, &mut rand::rng())
        });
        let servers = match step {
            ProbeStep::End => {
                prober.has_ended = true;
                return;
            }
            ProbeStep::Probe(servers) => servers,
            ProbeStep::ProbeAfter(pause, servers) => {
                sleep(pause).await;
                servers
            }
        };
        join_all(servers.into_iter().map(|key| probe(&gateway, key))).await;
    }
}

async fn probe(gateway: &Arc<Gateway>, key: WorkerKey) {
    let pool = gateway.with(|state| Some(Arc::clone(&state.backends.get(key)?.pool)));
    let Some(pool) = pool else { return };
    match pool.probe(clock::now()).await {
        Ok(()) => note_opened(gateway, key),
        Err(OpenError::Unreachable) => note_unreachable(gateway, key),
        Err(OpenError::Full) => {}
    }
}

fn close_idle(backends: &Backends, service: &ServiceName) {
    for (_, backend) in backends.accepting(service) {
        backend.pool.close_idle();
    }
}

fn accepting<'a>(
    backends: &'a Backends,
    service: &'a ServiceName,
) -> impl Iterator<Item = WorkerKey> + 'a {
    backends.accepting(service).map(|(key, _)| key)
}

fn services(backends: &Backends) -> Vec<ServiceName> {
    let mut services: Vec<ServiceName> = Vec::new();
    for (_, backend) in backends.iter() {
        if backend.accepts_work() && !services.contains(&backend.record.service) {
            services.push(backend.record.service.clone());
        }
    }
    services
}
