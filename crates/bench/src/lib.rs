//! Load, experiments and benches.

pub mod caller;
pub mod check;
pub mod compare;
pub mod load;
pub mod testbed;

pub use caller::{Answered, Caller, CallerError};
pub use testbed::{Testbed, TestbedError, TestbedOptions};
