//! The backend servers that a node knows: their records, loads and open connections.

mod announced;
mod backend;
mod connection;
mod directory;
mod load;
mod pool;
mod removed;
mod room;
mod speed;

pub use announced::{Announced, LimitNote, LimitReport};
pub use backend::Backend;
pub use connection::{Connection, ListenerState, OpenError, listener_state, responds};
pub use directory::Backends;
pub use load::{Load, RANKS};
pub use pool::Pool;
pub use room::{AuthoredRoom, Brittleness, RoomReport, ServerRoom};
pub use speed::{BackendSpeed, QuantitySpeed};

use crate::{adapter::BackendRecord, change_log::Updates};

/// `BackendUpdates` are updates of the records of backend servers.
pub type BackendUpdates = Updates<String, BackendRecord>;
