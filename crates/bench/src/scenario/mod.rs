//! Scenarios: scripts that start a deployment, send load, bring about faults, and expect.
//!
//! A script's output holds words and counts only, never times, so it is the same every time.

mod error;
mod runner;
mod stage;
mod watch;

pub use error::ScenarioError;
pub use runner::ScenarioRunner;
pub use stage::{Stage, words};
