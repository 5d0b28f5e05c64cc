//! A model of nodes before engines of several software versions, with callers that return to any node.

mod network;
mod outcome;
mod way;
mod world;

pub use outcome::Outcome;
pub use way::Way;
pub use world::{World, WorldOptions};
