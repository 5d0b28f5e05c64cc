//! What a node learns from the key-value service and from other nodes.

mod backends;
mod config;
mod digest;
mod exchange;
mod follow;
mod members;
mod membership;

pub use backends::follow_backends;
pub use config::{follow_config, take_config};
pub use digest::{BackendLoad, Digest, Document};
pub use exchange::{PeerPort, exchange};
pub use follow::{Follower, follow};
pub use members::{Member, MemberRecord, Members};
pub use membership::{DUTY_KEY, follow_members, register};
