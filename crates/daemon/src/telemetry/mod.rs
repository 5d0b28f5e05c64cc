//! Logs and traces of the daemon process.

mod collector;
mod lines;
mod process;
mod propagation;

pub use collector::{CollectorError, provider};
pub use lines::Lines;
pub use process::Telemetry;
pub use propagation::{TRACE_PARENT, inject, trace_parent, with_parent, with_remote_parent};
