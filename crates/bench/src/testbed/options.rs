//! How large a testbed is and what its parts cost.

use std::time::Duration;

use bulrushhall_daemon::Settings;
use bulrushhall_standin::{engine::EngineOptions, kv::KvOptions, service::ServiceOptions};

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
    /// The time from a purchase until the VM serves.
    pub boot: Duration,
    /// How far the list of VMs lags behind.
    pub list_lag: Duration,
    /// The time that a load of model weights takes.
    pub weight_load: Duration,
    /// The price of an hour of a reclaimable VM, in thousandths of a cent.
    pub price: u64,
    /// How many times as much an on-demand VM costs.
    pub on_demand_factor: u64,
    /// The settings that all nodes share.
    pub settings: Settings,
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
            boot: Duration::from_secs(1),
            list_lag: Duration::from_millis(500),
            weight_load: Duration::from_millis(500),
            price: 90_000,
            on_demand_factor: 3,
            settings: Settings::default(),
        }
    }
}
