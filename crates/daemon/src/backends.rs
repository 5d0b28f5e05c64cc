//! The backend servers that a node knows, with their clients.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bulrushhall_core::{
    Deployment, ServiceName, Stamp, VmName, ZoneName,
    config::{BackendAddress, ServiceType},
};
use bulrushhall_external::{
    Engine, PlainService,
    clients::{HttpEngine, HttpService},
    http::{Endpoint, EndpointOptions},
    vm_list::ListedVm,
};
use bulrushhall_policy::{WorkerKey, WorkerView};
use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::settings::LimitSettings;

/// The assumed one-way latency to a backend server in another availability zone.
const OTHER_ZONE_LATENCY: Duration = Duration::from_micros(1_500);

/// A `Backend` is one backend server with its client.
#[derive(Clone)]
pub struct Backend {
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The VM that it runs on.
    pub vm: VmName,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// Its address.
    pub address: SocketAddr,
    /// The version of its software; empty if none is known.
    pub version: String,
    /// The client.
    pub client: BackendClient,
}

/// A `BackendClient` is the client of a backend server of one type.
#[derive(Clone)]
pub enum BackendClient {
    /// A model engine.
    Engine(Arc<dyn Engine>),
    /// A plain service.
    Plain(Arc<dyn PlainService>),
}

/// `Backends` are the backend servers that a node knows.
#[derive(Default)]
pub struct Backends {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    arena: SlotMap<WorkerKey, Backend>,
    by_address: HashMap<String, WorkerKey>,
    leaving: BTreeSet<VmName>,
    /// Until when plain services want no calls.
    rests: HashMap<WorkerKey, Stamp>,
    /// Until when services whose servers could not be reached are not tried.
    lost: HashMap<ServiceName, Stamp>,
    listed: Vec<ListedVm>,
}

impl Backends {
    /// Updates the known backend servers to those in `deployment` and in the VM list.
    pub fn update(&self, deployment: &Deployment, limits: &LimitSettings) {
        let mut state = self.lock();
        let mut by_address = HashMap::new();
        for (service, cfg) in &deployment.services {
            let listed = state.listed.iter().filter(|vm| vm.service.as_ref() == Some(service));
            let listed: Vec<(BackendAddress, String)> =
                listed.map(|vm| (address_of(vm), vm.version.clone())).collect();
            let fixed = cfg.backends.iter().map(|address| (address, ""));
            let listed = listed.iter().map(|(address, version)| (address, version.as_str()));
            for (address, version) in fixed.chain(listed) {
                // A server that starts anew with another version is another one.
                let id = format!("{service} {address} {version}");
                let known = by_address.get(&id).or_else(|| state.by_address.get(&id)).copied();
                let key = known.unwrap_or_else(|| {
                    let server = (address, version);
                    let client = client(cfg.service_type, server, limits, cfg.timeout.into());
                    state.arena.insert(Backend {
                        service: service.clone(),
                        vm: address.vm.clone(),
                        zone: address.zone.clone(),
                        address: address.address,
                        version: version.to_owned(),
                        client,
                    })
                });
                by_address.insert(id, key);
            }
        }
        let kept: Vec<WorkerKey> = by_address.values().copied().collect();
        state.arena.retain(|key, _| kept.contains(&key));
        state.rests.retain(|key, _| kept.contains(key));
        state.by_address = by_address;
    }

    /// Notes that a backend server wants no calls until a time.
    pub fn note_rest(&self, key: WorkerKey, until: Stamp) {
        let mut state = self.lock();
        let known = state.rests.entry(key).or_insert(until);
        *known = (*known).max(until);
    }

    /// Returns until when a backend server wants no calls, if it has said so.
    pub fn rests_until(&self, key: WorkerKey) -> Option<Stamp> {
        self.lock().rests.get(&key).copied()
    }

    /// Notes that no server of a service could be reached, and until when it is not tried; returns whether one could before.
    pub fn note_lost(&self, service: &ServiceName, until: Stamp) -> bool {
        self.lock().lost.insert(service.clone(), until).is_none()
    }

    /// Notes that a server of a service was reached; returns whether none could be before.
    pub fn note_reached(&self, service: &ServiceName) -> bool {
        self.lock().lost.remove(service).is_some()
    }

    /// Returns whether the servers of a service could not be reached just before.
    pub fn is_lost(&self, service: &ServiceName, now: Stamp) -> bool {
        self.lock().lost.get(service).is_some_and(|until| now < *until)
    }

    /// Stores a new VM list; returns whether it differs from the last one.
    pub fn set_listed(&self, listed: Vec<ListedVm>) -> bool {
        let mut state = self.lock();
        let differs = state.listed != listed;
        state.listed = listed;
        differs
    }

    /// Returns the last VM list.
    pub fn listed(&self) -> Vec<ListedVm> {
        self.lock().listed.clone()
    }

    /// Returns a backend server.
    pub fn get(&self, key: WorkerKey) -> Option<Backend> {
        self.lock().arena.get(key).cloned()
    }

    /// Replaces the client of a backend server.
    pub fn replace_client(&self, key: WorkerKey, client: BackendClient) {
        if let Some(backend) = self.lock().arena.get_mut(key) {
            backend.client = client;
        }
    }

    /// Returns the backend servers of a service.
    pub fn of(&self, service: &ServiceName) -> Vec<(WorkerKey, Backend)> {
        let state = self.lock();
        let of_service = state.arena.iter().filter(|(_, backend)| backend.service == *service);
        of_service.map(|(key, backend)| (key, backend.clone())).collect()
    }

    /// Returns the backend servers on a VM.
    pub fn on(&self, vm: &VmName) -> Vec<(WorkerKey, Backend)> {
        let state = self.lock();
        let on_vm = state.arena.iter().filter(|(_, backend)| backend.vm == *vm);
        on_vm.map(|(key, backend)| (key, backend.clone())).collect()
    }

    /// Closes a VM for new work permanently; returns its backend servers.
    pub fn close(&self, vm: &VmName) -> Vec<(WorkerKey, Backend)> {
        let mut state = self.lock();
        state.leaving.insert(vm.clone());
        let on_vm = state.arena.iter().filter(|(_, backend)| backend.vm == *vm);
        on_vm.map(|(key, backend)| (key, backend.clone())).collect()
    }

    /// Returns whether a VM is closed for new work.
    pub fn is_closed(&self, vm: &VmName) -> bool {
        self.lock().leaving.contains(vm)
    }

    /// Returns the initial placement view of a service's engines.
    pub fn views(&self, service: &ServiceName, own_zone: &ZoneName, slots: u32) -> Vec<WorkerView> {
        let mut views = Vec::new();
        for (key, backend) in self.of(service) {
            let same_zone = backend.zone == *own_zone;
            views.push(WorkerView {
                key,
                identity: xxh3_64(backend.vm.as_str().as_bytes()),
                open: !self.is_closed(&backend.vm),
                network_latency: if same_zone { Duration::ZERO } else { OTHER_ZONE_LATENCY },
                slots,
                ..WorkerView::default()
            });
        }
        views
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn address_of(listed: &ListedVm) -> BackendAddress {
    BackendAddress { vm: listed.vm.clone(), zone: listed.zone.clone(), address: listed.address }
}

fn client(
    service_type: ServiceType,
    (address, version): (&BackendAddress, &str),
    limits: &LimitSettings,
    timeout: Duration,
) -> BackendClient {
    let vm = Some(address.vm.clone());
    match service_type {
        ServiceType::Model => {
            let version = version.to_owned();
            let options = EndpointOptions { vm, version, ..EndpointOptions::default() };
            let endpoint = Endpoint::new(address.address, options);
            BackendClient::Engine(Arc::new(HttpEngine::new(
                endpoint,
                limits.engine_progress.into(),
            )))
        }
        ServiceType::Plain => {
            let options =
                EndpointOptions { vm, response_timeout: timeout, ..EndpointOptions::default() };
            let endpoint = Endpoint::new(address.address, options);
            BackendClient::Plain(Arc::new(HttpService::new(endpoint, timeout)))
        }
    }
}
