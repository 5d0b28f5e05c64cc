//! What a node learns from the key-value service and from other nodes.

use std::time::Duration;

use bulrushhall_core::NodeName;

use crate::change_log::News;

mod backends;
mod config;
mod digest;
mod exchange;
mod follow;
mod hear;
mod members;
mod membership;
mod peer_port;
mod tell;

pub use backends::follow_backends;
pub use config::{follow_config, take_config};
pub use digest::{BackendLoad, Digest, DigestScope, Document, HeardLife, RecordsKnown};
pub use exchange::exchange;
pub use follow::{Follower, follow};
pub use members::{Member, MemberRecord, Members};
pub use membership::{DUTY_KEY, follow_members, register};
pub use peer_port::PeerPort;

/// `MemberNews` are changes of the records of nodes in the key-value service.
pub type MemberNews = News<NodeName, MemberRecord>;

fn as_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
