//! Scenario scripts: start a deployment, send load, inject faults and check the result.
//!
//! A script's output holds texts and counts but no times, so that every run gives the same output.

mod environment;
mod error;
mod runner;
mod watch;

pub use environment::{Environment, summarize_violations};
pub use error::ScenarioError;
pub use runner::ScenarioRunner;
