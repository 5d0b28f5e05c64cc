//! The configuration model: what operators write and what nodes act on.

mod check;
mod deployment;
mod ini;
mod problem;
mod value;

pub use check::check;
pub use deployment::{
    BackendAddress, ClassConfig, Deployment, Fencing, ModelConfig, ServiceConfig, ServiceType,
    TeamConfig, Weights, ZoneConfig,
};
pub use ini::{Section, from_section, parse_deployment, parse_sections, settings_from};
pub use problem::Problem;
