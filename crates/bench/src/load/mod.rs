//! Open-loop load: planned arrivals, simulated callers and records of what they observed.

mod entry_cache;
mod mix;
mod plan;
mod record;
mod report;
mod runner;
mod simulated_caller;
mod stream_reader;

pub use entry_cache::EntryCache;
pub use mix::{Arrival, Mix, arrivals};
pub use plan::{Plan, PlanError};
pub use record::{Kind, Outcome, Phase, Record};
pub use report::{Latency, Report, Summary};
pub use runner::{Session, run};
pub use simulated_caller::SimulatedCaller;
pub use stream_reader::{StreamEnd, StreamReader};
