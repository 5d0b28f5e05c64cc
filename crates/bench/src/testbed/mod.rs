//! A whole deployment in one process: simulated servers, configuration, VMs and nodes.

mod config;
mod control;
mod error;
mod machines;
mod options;
mod process;

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use bulrushhall_core::{ModelName, NodeName, ServiceName, VmName, ZoneName};
use bulrushhall_daemon::{Settings, config_chain, settings::NodeSettings};
use bulrushhall_external::{
    clients::HttpKeyValue,
    cloud::{Market, Offer},
    http::{Endpoint, EndpointOptions},
};
use bulrushhall_standin::{
    cloud::CloudServer,
    engine::EngineServer,
    kv::KvServer,
    loopback::unused_address,
    service::{Ledger, ServiceServer},
    vm_list::VmListServer,
    weights::WeightServer,
};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::Caller;

pub use config::{LEDGER, MODEL, SERVICE};
pub use control::ControlPort;
pub use error::TestbedError;
pub use machines::{Machine, Machines};
pub use options::TestbedOptions;
pub use process::{NODE_THREAD, NodeProcess};

/// How long to wait until the nodes have the configuration in force.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(10);
/// The machine class that engines run on.
pub const ENGINE_CLASS: &str = "accelerated";
/// The machine class that nodes and plain services run on.
pub const SMALL_CLASS: &str = "small";
/// The ratio of the price of a machine with accelerators to that of a small one.
const SMALL_DIVISOR: u64 = 20;

/// A `Testbed` is a whole deployment in one process.
pub struct Testbed {
    /// The key-value service.
    pub kv: KvServer,
    /// The cloud API.
    pub cloud: CloudServer,
    /// The weight store.
    pub weights: WeightServer,
    /// The VMs and the servers on them, including purchased ones.
    pub machines: Arc<Machines>,
    /// The engines that the testbed started with.
    pub engines: Vec<Arc<EngineServer>>,
    /// The backend servers of the plain service.
    pub services: Vec<Arc<ServiceServer>>,
    /// The calls that the plain service has executed.
    pub ledger: Arc<Ledger>,
    /// The nodes.
    pub nodes: Vec<Arc<NodeProcess>>,
    /// The configuration's text.
    pub config: String,
    options: TestbedOptions,
    event_task: JoinHandle<()>,
}

impl Testbed {
    /// Starts the simulated servers, writes the configuration, starts the nodes and waits until
    /// they have it in force.
    pub async fn start(options: TestbedOptions) -> Result<Testbed, TestbedError> {
        let (cloud, events) = CloudServer::start(offers(&options)?).await?;
        let list = VmListServer::start(options.list_lag).await?;
        let service = ServiceName::new(SERVICE)?;
        let model = ModelName::new(MODEL)?;
        let plain = ServiceName::new(LEDGER)?;
        let engine = options.engine.clone();
        let machines = Machines::new(list, service, plain, model, engine, options.boot);
        let machines = Arc::new(machines);
        let event_task = tokio::spawn(machines::apply_events(Arc::clone(&machines), events));

        let mut testbed = Testbed {
            kv: KvServer::start(options.kv.clone()).await?,
            cloud,
            weights: WeightServer::start(options.weight_load).await?,
            machines,
            engines: Vec::new(),
            services: Vec::new(),
            ledger: Arc::new(Ledger::default()),
            nodes: Vec::new(),
            config: String::new(),
            options,
            event_task,
        };
        testbed.start_backends().await?;
        testbed.write_config().await?;
        for at in 0..testbed.options.nodes {
            let zone = testbed.zone_of(at);
            let settings = testbed.options.settings.clone();
            testbed.add_node(at, zone, &settings).await?;
        }
        testbed.wait_for_config().await?;
        Ok(testbed)
    }

    /// Returns a caller of the first team that sends to node number `at`.
    pub fn caller(&self, at: usize) -> Caller {
        Caller::new(self.nodes[at].callers(), "workshop")
    }

    /// Returns the caller addresses of all running nodes.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.machines.nodes().iter().map(|node| node.callers()).collect()
    }

    /// Returns the zone of the node, engine or service with number `at`.
    pub fn zone_of(&self, at: usize) -> &'static str {
        self.options.zones[at % self.options.zones.len()]
    }

    /// Starts one more node.
    pub async fn add_node(
        &mut self,
        at: usize,
        zone: &str,
        settings: &Settings,
    ) -> Result<(), TestbedError> {
        let vm = VmName::new(format!("vm-entry-{at}"))?;
        let node = self.start_node(vm, at, zone, settings).await?;
        self.nodes.push(node);
        Ok(())
    }

    /// Starts all initial servers of a zone again on new VMs, whose names end in `incarnation`.
    ///
    /// The cloud replaces reclaimed VMs in this way once it has capacity again.
    pub async fn replace_zone(&self, zone: &str, incarnation: usize) -> Result<(), TestbedError> {
        for at in (0..self.options.services).filter(|at| self.zone_of(*at) == zone) {
            self.start_service(VmName::new(format!("vm-ledger-{at}-{incarnation}"))?, zone).await?;
        }
        for at in (0..self.options.engines).filter(|at| self.zone_of(*at) == zone) {
            self.start_engine(VmName::new(format!("vm-engine-{at}-{incarnation}"))?, zone).await?;
        }
        for at in (0..self.options.nodes).filter(|at| self.zone_of(*at) == zone) {
            self.replace_node(at, incarnation).await?;
        }
        Ok(())
    }

    /// Starts a node again on a new VM, whose name ends in `incarnation`.
    pub async fn replace_node(&self, at: usize, incarnation: usize) -> Result<(), TestbedError> {
        let vm = VmName::new(format!("vm-entry-{at}-{incarnation}"))?;
        self.start_node(vm, at, self.zone_of(at), &self.options.settings).await.map(drop)
    }

    async fn start_node(
        &self,
        vm: VmName,
        at: usize,
        zone: &str,
        settings: &Settings,
    ) -> Result<Arc<NodeProcess>, TestbedError> {
        let zone = ZoneName::new(zone)?;
        let alive = self.machines.nodes();
        let node = NodeSettings {
            name: NodeName::new(format!("entry-{at}"))?,
            vm: vm.clone(),
            zone: zone.clone(),
            callers: fixed_address(settings.node.callers),
            peers: fixed_address(settings.node.peers),
            operators: fixed_address(settings.node.operators),
            seeds: alive.iter().map(|node| node.context().settings.node.peers).collect(),
        };
        let mut settings = Settings { node, ..settings.clone() };
        let platform = &mut settings.platform;
        platform.key_value = Some(self.kv.address());
        platform.cloud = Some(self.cloud.address());
        platform.vm_list = Some(self.machines.list().address());
        platform.weights = Some(self.weights.address());
        let node = Arc::new(NodeProcess::start(settings).await?);
        self.register_vm(&vm, &zone, self.options.price / SMALL_DIVISOR);
        self.machines.run(vm, zone, Machine::Node(Arc::clone(&node)));
        Ok(node)
    }

    async fn start_engine(
        &self,
        vm: VmName,
        zone: &str,
    ) -> Result<Arc<EngineServer>, TestbedError> {
        let zone = ZoneName::new(zone)?;
        let model = ModelName::new(MODEL)?;
        let engine = EngineServer::start(vm.clone(), model, self.options.engine.clone());
        let engine = Arc::new(engine.await?);
        self.register_vm(&vm, &zone, self.options.price);
        self.machines.run(vm, zone, Machine::Engine(Arc::clone(&engine)));
        Ok(engine)
    }

    async fn start_service(
        &self,
        vm: VmName,
        zone: &str,
    ) -> Result<Arc<ServiceServer>, TestbedError> {
        let zone = ZoneName::new(zone)?;
        let ledger = Arc::clone(&self.ledger);
        let service = ServiceServer::start(vm.clone(), ledger, self.options.service.clone());
        let service = Arc::new(service.await?);
        self.register_vm(&vm, &zone, self.options.price / SMALL_DIVISOR);
        self.machines.run(vm, zone, Machine::Service(Arc::clone(&service)));
        Ok(service)
    }

    /// Announces the reclaim of all reclaimable VMs of a zone after `notice`; returns these VMs.
    pub fn reclaim_zone(&self, zone: &str, notice: Duration) -> Vec<VmName> {
        match ZoneName::new(zone) {
            Ok(zone) => self.cloud.reclaim_zone(&zone, notice),
            Err(_) => Vec::new(),
        }
    }

    /// Makes the cloud refuse purchases of reclaimable VMs in the given zones, and only there.
    pub fn refuse_in(&self, zones: &[&str]) {
        let zones = zones.iter().filter_map(|zone| ZoneName::new(zone).ok());
        let refused: BTreeSet<_> = zones.map(|zone| (zone, Market::Reclaimable)).collect();
        self.cloud.set_refusals(refused);
    }

    async fn start_backends(&mut self) -> Result<(), TestbedError> {
        for at in 0..self.options.engines {
            let vm = VmName::new(format!("vm-engine-{at}"))?;
            let engine = self.start_engine(vm, self.zone_of(at)).await?;
            self.engines.push(engine);
        }
        for at in 0..self.options.services {
            let vm = VmName::new(format!("vm-ledger-{at}"))?;
            let service = self.start_service(vm, self.zone_of(at)).await?;
            self.services.push(service);
        }
        Ok(())
    }

    async fn write_config(&mut self) -> Result<(), TestbedError> {
        self.config = config::text(&self.options.zones, &self.engines, &self.services);
        let client =
            HttpKeyValue::new(Endpoint::new(self.kv.address(), EndpointOptions::default()));
        let applied = config_chain::apply(&client, None, &self.config).await;
        applied.map(drop).map_err(TestbedError::Config)
    }

    fn register_vm(&self, vm: &VmName, zone: &ZoneName, price: u64) {
        self.cloud.register(vm.clone(), zone.clone(), Market::Reclaimable, price);
    }

    async fn wait_for_config(&self) -> Result<(), TestbedError> {
        let deadline = Instant::now() + CONFIG_TIMEOUT;
        for node in &self.nodes {
            while node.context().in_force().revision.0 == 0 {
                if deadline <= Instant::now() {
                    return Err(TestbedError::Late);
                }
                sleep(Duration::from_millis(5)).await;
            }
        }
        Ok(())
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        self.event_task.abort();
    }
}

// The addresses of a node that has ended are not given to other servers.
fn fixed_address(address: SocketAddr) -> SocketAddr {
    if address.port() == 0 { unused_address() } else { address }
}

fn offers(options: &TestbedOptions) -> Result<Vec<Offer>, TestbedError> {
    let mut offers = Vec::new();
    for zone in &options.zones {
        let zone = ZoneName::new(zone)?;
        for (class, price) in
            [(ENGINE_CLASS, options.price), (SMALL_CLASS, options.price / SMALL_DIVISOR)]
        {
            for (market, factor) in
                [(Market::Reclaimable, 1), (Market::OnDemand, options.on_demand_factor)]
            {
                let (zone, class) = (zone.clone(), class.to_owned());
                offers.push(Offer { zone, class, market, price: price * factor });
            }
        }
    }
    Ok(offers)
}
