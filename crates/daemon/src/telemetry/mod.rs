//! Logs and traces of the daemon's process.

mod collector;
mod hops;
mod lines;
mod process;

pub use collector::{CollectorError, provider};
pub use hops::{TRACE_PARENT, hop, inject, resume, trace_parent};
pub use lines::Lines;
pub use process::Telemetry;
