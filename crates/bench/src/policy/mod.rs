//! The policy machines under load and faults, driven in virtual time.
//!
//! Engines are the stand-in's state machines, nodes are [`bulrushhall_policy::Scheduler`]s, and the
//! fleet is bought by a [`bulrushhall_policy::FleetPlanner`]. Nothing sleeps and nothing is drawn
//! from a clock, so a seed gives the same figures every time.

mod cluster;
mod deployment;
mod outcome;
mod plots;
mod report;
mod scenario;
mod setup;
mod simulation;
mod workload;

pub use cluster::{Cluster, Machine};
pub use deployment::DeploymentSpec;
pub use outcome::{Outcome, Summary};
pub use plots::{bars, lines};
pub use report::{ReportOptions, write_report};
pub use scenario::{Fault, Scenario};
pub use setup::{Fleet, Recovery, Setup};
pub use simulation::run;
pub use workload::{Arrival, Workload};
