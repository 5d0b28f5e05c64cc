//! Load, experiments and benches.

pub mod caller;
pub mod testbed;

pub use caller::{Answered, Caller, CallerError};
pub use testbed::{Testbed, TestbedError, TestbedOptions};
