//! The software versions of backend servers at which streams began, as each node knows them.
//!
//! The events of two versions do not fit together, so a stream is resumed only at the version of its first event.

mod batch;
mod confirmations;
mod copies;
mod holders;
mod key;
mod origin;
mod origins;
mod versions;

pub use batch::StreamBatch;
pub use confirmations::VersionConfirmations;
pub use copies::{COPIES, CopyDelivery, StreamCopies};
pub use holders::{MAX_ASKED, asked_nodes, copy_holders};
pub use key::StreamKey;
pub use origin::StreamOrigin;
pub use origins::{Found, StreamOrigins};
pub use versions::{SeenVersion, ServiceVersions, VersionsReport};
