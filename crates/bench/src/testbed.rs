//! A whole deployment in one process: stand-ins, configuration and nodes.

use std::{error, fmt, io, sync::Arc, time::Duration};

use bulrushhall_core::{CoreError, ModelName, NodeName, VmName, ZoneName};
use bulrushhall_daemon::{
    Node, Settings,
    config_chain::{self, ApplyError},
    errors::NodeError,
    settings::{NodeSettings, PlatformSettings},
};
use bulrushhall_platform::{
    clients::HttpKeyValue,
    http::{Endpoint, EndpointOptions},
};
use bulrushhall_standin::{
    engine::{EngineOptions, EngineServer},
    kv::{KvOptions, KvServer},
    service::{Ledger, ServiceOptions, ServiceServer},
};
use error_stack::Report;
use tokio::time::{Instant, sleep};

use crate::Caller;

/// The model that a testbed serves.
pub const MODEL: &str = "motif-7b";
/// The plain service of a testbed.
pub const LEDGER: &str = "guild-ledger";
/// The longest time that nodes may take to learn a configuration.
const CONFIG_WAIT: Duration = Duration::from_secs(10);

/// `TestbedOptions` size a testbed.
#[derive(Clone, Debug)]
pub struct TestbedOptions {
    /// The availability zones.
    pub zones: Vec<&'static str>,
    /// The nodes, spread over the zones.
    pub nodes: usize,
    /// The engines, spread over the zones.
    pub engines: usize,
    /// The backend servers of the plain service, spread over the zones.
    pub services: usize,
    /// What the engines cost.
    pub engine: EngineOptions,
    /// How the plain service behaves.
    pub service: ServiceOptions,
    /// The caps of the key-value service.
    pub kv: KvOptions,
    /// The settings that all nodes share.
    pub settings: Settings,
}

/// A `Testbed` is a whole deployment in one process.
pub struct Testbed {
    /// The key-value service.
    pub kv: KvServer,
    /// The engines.
    pub engines: Vec<EngineServer>,
    /// The backend servers of the plain service.
    pub services: Vec<ServiceServer>,
    /// What the plain service has executed.
    pub ledger: Arc<Ledger>,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The configuration's text.
    pub config: String,
}

/// A `TestbedError` tells why a testbed could not be started.
#[derive(Debug)]
pub enum TestbedError {
    /// A name is malformed.
    Name(CoreError),
    /// A port could not be opened.
    Listen(io::Error),
    /// The configuration could not be written.
    Config(ApplyError),
    /// A node could not be started.
    Node(Report<NodeError>),
    /// The nodes did not learn the configuration in time.
    Late,
}

impl Default for TestbedOptions {
    fn default() -> Self {
        TestbedOptions {
            zones: vec!["suva-a", "suva-b", "nausori", "navua"],
            nodes: 1,
            engines: 1,
            services: 1,
            engine: EngineOptions::default(),
            service: ServiceOptions::default(),
            kv: KvOptions::default(),
            settings: Settings::default(),
        }
    }
}

impl Testbed {
    /// Starts the stand-ins, writes the configuration, starts the nodes and waits for them.
    pub async fn start(options: TestbedOptions) -> Result<Testbed, TestbedError> {
        let TestbedOptions { zones, .. } = &options;
        let mut engines = Vec::new();
        for at in 0..options.engines {
            let vm = VmName::new(format!("vm-engine-{at}"))?;
            let model = ModelName::new(MODEL)?;
            engines.push(EngineServer::start(vm, model, options.engine.clone()).await?);
        }
        let ledger = Arc::new(Ledger::default());
        let mut services = Vec::new();
        for at in 0..options.services {
            let vm = VmName::new(format!("vm-ledger-{at}"))?;
            let ledger = Arc::clone(&ledger);
            services.push(ServiceServer::start(vm, ledger, options.service.clone()).await?);
        }
        let kv = KvServer::start(options.kv.clone()).await?;

        let config = config_text(zones, &engines, &services);
        let client = HttpKeyValue::new(Endpoint::new(kv.address(), EndpointOptions::default()));
        config_chain::apply(&client, None, &config).await.map_err(TestbedError::Config)?;

        let mut testbed = Testbed { kv, engines, services, ledger, nodes: Vec::new(), config };
        for at in 0..options.nodes {
            testbed.add_node(at, zones[at % zones.len()], &options.settings).await?;
        }
        testbed.wait_for_config().await?;
        Ok(testbed)
    }

    /// Returns a caller of the first team that uses node number `at`.
    pub fn caller(&self, at: usize) -> Caller {
        Caller::new(self.nodes[at].callers(), "workshop")
    }

    /// Starts one more node.
    pub async fn add_node(
        &mut self,
        at: usize,
        zone: &str,
        settings: &Settings,
    ) -> Result<(), TestbedError> {
        let node = NodeSettings {
            name: NodeName::new(format!("entry-{at}"))?,
            vm: VmName::new(format!("vm-entry-{at}"))?,
            zone: ZoneName::new(zone)?,
            seeds: self.nodes.iter().map(|node| node.context().settings.node.peers).collect(),
            ..settings.node.clone()
        };
        let platform =
            PlatformSettings { key_value: Some(self.kv.address()), ..settings.platform.clone() };
        let settings = Settings { node, platform, ..settings.clone() };
        self.nodes.push(Node::start(settings).await.map_err(TestbedError::Node)?);
        Ok(())
    }

    async fn wait_for_config(&self) -> Result<(), TestbedError> {
        let until = Instant::now() + CONFIG_WAIT;
        for node in &self.nodes {
            while node.context().in_force().revision.0 == 0 {
                if until <= Instant::now() {
                    return Err(TestbedError::Late);
                }
                sleep(Duration::from_millis(5)).await;
            }
        }
        Ok(())
    }
}

impl fmt::Display for TestbedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TestbedError::Name(error) => write!(f, "{error}"),
            TestbedError::Listen(error) => write!(f, "a port could not be opened: {error}"),
            TestbedError::Config(error) => write!(f, "the configuration was not written: {error}"),
            TestbedError::Node(report) => write!(f, "a node could not be started: {report:?}"),
            TestbedError::Late => f.write_str("the nodes did not learn the configuration in time"),
        }
    }
}

impl error::Error for TestbedError {}

impl From<CoreError> for TestbedError {
    fn from(error: CoreError) -> Self {
        TestbedError::Name(error)
    }
}

impl From<io::Error> for TestbedError {
    fn from(error: io::Error) -> Self {
        TestbedError::Listen(error)
    }
}

fn config_text(zones: &[&str], engines: &[EngineServer], services: &[ServiceServer]) -> String {
    let mut text = String::new();
    for zone in zones {
        text.push_str(&format!("[zone {zone}]\nregion = viti-central\n\n"));
    }
    let at = |(number, vm, address)| format!("{vm}@{}@{address}", zones[number % zones.len()]);
    let engines = engines.iter().enumerate();
    let engines = engines.map(|(number, engine)| at((number, engine.vm(), engine.address())));
    let services = services.iter().enumerate();
    let services = services.map(|(number, service)| at((number, service.vm(), service.address())));
    let engines: Vec<String> = engines.collect();
    let services: Vec<String> = services.collect();
    text.push_str(&format!(
        "[service pattern-desk]\ntype = model\nbackends = {}\n\n\
         [service {LEDGER}]\ntype = plain\nbackends = {}\nnon_repeatable = /orders\n\n\
         [model {MODEL}]\nservice = pattern-desk\n\n\
         [class urgent]\npriority = 0\n\n\
         [class patient]\npriority = 5\ndeadline = 10m\n\n\
         [team workshop]\nshare = 1\n\n\
         [team archive]\nshare = 1\n",
        engines.join(", "),
        services.join(", "),
    ));
    text
}
