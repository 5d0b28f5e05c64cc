//! The size of a testbed and the timing and prices of its servers.

use std::time::Duration;

use bulrushhall_daemon::Settings;
use bulrushhall_standin::{engine::EngineOptions, kv::KvOptions, service::ServiceOptions};

/// `TestbedOptions` are the options of a testbed.
#[derive(Clone, Debug)]
pub struct TestbedOptions {
    /// The availability zones.
    pub zones: Vec<&'static str>,
    /// The number of nodes, distributed over the zones.
    pub nodes: usize,
    /// The number of engines, distributed over the zones.
    pub engines: usize,
    /// The number of backend servers of the plain service, distributed over the zones.
    pub services: usize,
    /// The timing and limits of the engines.
    pub engine: EngineOptions,
    /// The behavior of the plain service.
    pub service: ServiceOptions,
    /// The rate limits of the key-value service.
    pub kv: KvOptions,
    /// The time from a purchase until the VM serves.
    pub boot: Duration,
    /// The delay until a change shows in the VM list.
    pub list_lag: Duration,
    /// The time that loading model weights takes.
    pub weight_load: Duration,
    /// The hourly price of a reclaimable VM, in thousandths of a cent.
    pub price: u64,
    /// The ratio of the price of an on-demand VM to that of a reclaimable one.
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
