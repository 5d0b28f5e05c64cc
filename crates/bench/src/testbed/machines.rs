//! The VMs of a testbed, and the handling of VMs that the cloud starts or ends.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bulrushhall_core::{ModelName, ServiceName, VmName, ZoneName};
use bulrushhall_external::{cloud::Purchase, vm_list::ListedVm};
use bulrushhall_standin::{
    cloud::MachineEvent,
    engine::{EngineCounts, EngineOptions, EngineServer},
    service::ServiceServer,
    vm_list::VmListServer,
};
use tokio::{sync::mpsc, time::sleep};

use crate::testbed::NodeProcess;

/// A `Machine` is the server that runs on a VM.
#[derive(Clone)]
pub enum Machine {
    /// A model engine.
    Engine(Arc<EngineServer>),
    /// A backend server of the plain service.
    Service(Arc<ServiceServer>),
    /// A node.
    Node(Arc<NodeProcess>),
}

/// `Machines` are the running VMs.
pub struct Machines {
    state: Mutex<State>,
    list: VmListServer,
    model: ModelName,
    service: ServiceName,
    plain: ServiceName,
    engine: EngineOptions,
    boot: Duration,
}

#[derive(Default)]
struct State {
    running: BTreeMap<VmName, Machine>,
    removed_engines: Vec<EngineCounts>,
}

impl Machines {
    /// Returns an empty set of VMs; purchased VMs run an engine of `service` that serves `model`.
    pub fn new(
        list: VmListServer,
        service: ServiceName,
        plain: ServiceName,
        model: ModelName,
        engine: EngineOptions,
        boot: Duration,
    ) -> Machines {
        Machines { state: Mutex::default(), list, model, service, plain, engine, boot }
    }

    /// Returns the VM list that nodes query.
    pub fn list(&self) -> &VmListServer {
        &self.list
    }

    /// Registers a VM with its server and adds backend servers to the VM list.
    pub fn run(&self, vm: VmName, zone: ZoneName, machine: Machine) {
        let listed = match &machine {
            Machine::Engine(engine) => Some((&self.service, engine.address(), engine.version())),
            Machine::Service(service) => Some((&self.plain, service.address(), "")),
            Machine::Node(_) => None,
        };
        if let Some((service, address, version)) = listed {
            self.list.put(ListedVm {
                vm: vm.clone(),
                zone,
                service: Some(service.clone()),
                address,
                leaving: false,
                version: version.to_owned(),
            });
        }
        self.lock().running.insert(vm, machine);
    }

    /// Kills the server on a VM without notice and removes the VM from the list.
    pub fn kill(&self, vm: &VmName) {
        self.list.remove(vm);
        let mut state = self.lock();
        match state.running.remove(vm) {
            None => {}
            Some(Machine::Engine(engine)) => {
                engine.kill();
                state.removed_engines.push(engine.counts());
            }
            Some(Machine::Service(service)) => service.kill(),
            Some(Machine::Node(node)) => node.kill(),
        }
    }

    /// Returns the total counts of all engines, including those of ended VMs.
    pub fn engine_counts(&self) -> EngineCounts {
        let state = self.lock();
        let mut total = EngineCounts::default();
        let running = state.running.values().filter_map(|machine| match machine {
            Machine::Engine(engine) => Some(engine.counts()),
            Machine::Service(_) | Machine::Node(_) => None,
        });
        for counts in running.chain(state.removed_engines.iter().copied()) {
            total.generates += counts.generates;
            total.computed_tokens += counts.computed_tokens;
            total.recomputed_tokens += counts.recomputed_tokens;
            total.exported_bytes += counts.exported_bytes;
            total.fenced_orders += counts.fenced_orders;
        }
        total
    }

    /// Returns the running engines.
    pub fn engines(&self) -> Vec<Arc<EngineServer>> {
        let state = self.lock();
        let engines = state.running.values().filter_map(|machine| match machine {
            Machine::Engine(engine) => Some(Arc::clone(engine)),
            Machine::Service(_) | Machine::Node(_) => None,
        });
        engines.collect()
    }

    /// Returns the running nodes.
    pub fn nodes(&self) -> Vec<Arc<NodeProcess>> {
        let state = self.lock();
        let nodes = state.running.values().filter_map(|machine| match machine {
            Machine::Node(node) if node.is_alive() => Some(Arc::clone(node)),
            Machine::Node(_) | Machine::Engine(_) | Machine::Service(_) => None,
        });
        nodes.collect()
    }

    /// Returns the server that runs on a VM.
    pub fn get(&self, vm: &VmName) -> Option<Machine> {
        self.lock().running.get(vm).cloned()
    }

    async fn boot(&self, vm: VmName, purchase: Purchase) {
        sleep(self.boot).await;
        let started =
            EngineServer::start(vm.clone(), self.model.clone(), self.engine.clone()).await;
        let Ok(engine) = started else { return };
        self.run(vm, purchase.zone, Machine::Engine(Arc::new(engine)));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Starts and kills VMs as the cloud's events say, until the cloud is dropped.
pub async fn apply_events(
    machines: Arc<Machines>,
    mut events: mpsc::UnboundedReceiver<MachineEvent>,
) {
    while let Some(event) = events.recv().await {
        match event {
            MachineEvent::Removed(vm) => machines.kill(&vm),
            MachineEvent::Start(vm, purchase) => {
                let machines = Arc::clone(&machines);
                tokio::spawn(async move { machines.boot(vm, purchase).await });
            }
        }
    }
}
