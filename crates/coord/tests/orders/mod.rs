//! A simulation of a few nodes, the key-value service and a plain service.

pub mod check;
pub mod store;
pub mod world;

pub use check::{Violation, check};
pub use world::{Mutant, Plan, World};
