//! A few nodes, the key-value service and a plain service, in simulated time.

pub mod check;
pub mod store;
pub mod world;

pub use check::{Fault, check};
pub use world::{Mutant, Plan, World};
