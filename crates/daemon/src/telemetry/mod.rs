//! Logs and traces of the daemon's process.

mod collector;
mod hops;
mod process;

pub use collector::{CollectorError, provider};
pub use hops::{TRACE_PARENT, hop, inject, resume, trace_parent};
pub use process::Telemetry;
