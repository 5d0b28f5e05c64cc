//! A simulation of a few nodes with their network, engines and readers.

pub mod check;
pub mod plan;
pub mod reader;
pub mod trace;
pub mod world;

pub use check::{Violation, check};
pub use plan::{Mutant, Plan};
pub use trace::Event;
pub use world::World;
