//! Scenarios: scripts that start a deployment, send load, bring about faults, and expect.
//!
//! A script's output holds words and counts only, never times, so it is the same every time.

mod environment;
mod error;
mod runner;
mod watch;

pub use environment::{Environment, summarize_violations};
pub use error::ScenarioError;
pub use runner::ScenarioRunner;
