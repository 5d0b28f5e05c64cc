//! The backend servers that a node knows: their records, loads and open connections.

mod announced;
mod backend;
mod connection;
mod connection_life;
mod directory;
mod load;
mod pool;
mod removed;
mod room;
mod speed;
mod witnesses;

pub use announced::{Announced, LimitNote, LimitReport};
pub use backend::Backend;
pub use connection::{Connection, ListenerState, OpenError, listener_state, responds};
pub use connection_life::ConnectionLife;
pub use directory::Backends;
pub use load::{Load, RANKS};
pub use pool::{Pool, idle_time};
pub use room::{AuthoredRoom, Brittleness, RoomReport, ServerRoom};
pub use speed::{BackendSpeed, QuantitySpeed};
pub use witnesses::Witnesses;

use crate::{adapter::BackendRecord, change_log::Updates};

/// `BackendUpdates` are updates of the records of backend servers.
pub type BackendUpdates = Updates<String, BackendRecord>;
