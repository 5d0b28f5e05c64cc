//! A few nodes, their network, engines and readers, in simulated time.

pub mod check;
pub mod plan;
pub mod reader;
pub mod trace;
pub mod world;

pub use check::{Fault, check};
pub use plan::{Mutant, Plan};
pub use trace::Event;
pub use world::World;
