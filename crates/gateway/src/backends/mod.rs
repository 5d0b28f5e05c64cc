//! The backend servers that a node knows: their records, loads and open connections.

mod backend;
mod connection;
mod directory;
mod load;
mod pool;
mod record_news;

pub use backend::Backend;
pub use connection::{Connection, OpenError};
pub use directory::Backends;
pub use load::{Load, RANKS};
pub use pool::Pool;
pub use record_news::RecordNews;
