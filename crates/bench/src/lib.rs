//! Load generation, testbeds, experiments and benchmarks.

pub mod caller;
pub mod capacity;
pub mod check;
pub mod compare;
pub mod cpu;
pub mod load;
pub mod policy;
pub mod probe;
pub mod reclaim;
pub mod scenario;
pub mod soak;
pub mod spread;
pub mod testbed;

pub use caller::{Caller, CallerError, StreamedAnswer};
pub use probe::{Probe, Reply};
pub use testbed::{Testbed, TestbedError, TestbedOptions};
