//! A simulated key-value service of the platform.

mod server;
mod store;

pub use server::{KvOptions, KvServer};
pub use store::{CallCounts, Store};
