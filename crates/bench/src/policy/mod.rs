//! Simulations of the policy's state machines under load and faults, in virtual time.
//!
//! Engines are the state machines of the simulated engine servers, nodes are
//! [`bulrushhall_policy::Scheduler`]s, and the fleet is bought by a
//! [`bulrushhall_policy::FleetPlanner`]. Nothing sleeps or reads a clock, so runs with the same
//! seed give the same figures.

mod cluster;
mod deployment;
mod outcome;
mod plots;
mod report;
mod scenario;
mod setup;
mod simulation;
mod workload;

pub use cluster::{Cluster, Worker};
pub use deployment::DeploymentSpec;
pub use outcome::{Outcome, Summary};
pub use plots::{bar_chart, line_chart};
pub use report::{ReportOptions, write_report};
pub use scenario::{Fault, Scenario};
pub use setup::{Fleet, Recovery, Setup};
pub use simulation::run;
pub use workload::{Arrival, Workload};
