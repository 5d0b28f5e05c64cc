//! The stand-in of the platform's key-value service.

mod server;
mod store;

pub use server::{KvOptions, KvServer};
pub use store::{CallCounts, Store};
