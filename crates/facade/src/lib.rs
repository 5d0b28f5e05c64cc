//! The crates of bulrushhall that other programs embed.

pub use bulrushhall_coord as coord;
pub use bulrushhall_core as core;
pub use bulrushhall_external as platform;
pub use bulrushhall_policy as policy;

/// The settings structs that describe a deployment, with its INI parser and renderer.
pub mod settings {
    pub use bulrushhall_core::config::{
        AdapterConfig, BackendAddress, ClassConfig, Deployment, EnginesConfig, Fencing,
        HourlyPrice, KeyHash, ModelConfig, Problem, Rate, RolloutConfig, ServiceConfig,
        ServiceType, TeamConfig, VersionConfig, VmClassConfig, Weights, ZoneConfig,
        parse_deployment, render,
    };
}
