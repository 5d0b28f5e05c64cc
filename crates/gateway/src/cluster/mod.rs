//! Cluster state: what a node learns from the key-value service and by gossip with other nodes.

use std::time::Duration;

use bulrushhall_core::NodeName;

use crate::change_log::Updates;

mod advertise;
mod backends;
mod block_records;
mod carried;
mod carry;
mod config;
mod digest;
mod follow;
mod gossip;
mod members;
mod membership;
mod peer_port;
mod receive;
mod reply_budget;
mod stream_copies;
mod version_servers;
mod watches;

pub use backends::follow_backends;
pub use block_records::{BLOCK_PREFIX, claim_probe, store_blocks};
pub use carried::{CARRIED_HEADER, CARRIED_UNDELIMITED, CARRY_PATH, CarriedRequest, CarryFailure};
pub use config::{activate_config, follow_config};
pub use digest::{BackendLoad, Digest, DigestScope, Document, LiveNode, RecordCursor};
pub use follow::{Follower, follow};
pub use gossip::{DIGEST_TIMEOUTS, call, due_digests, gossip, round_interval};
pub use members::{Member, MemberRecord, Members};
pub use membership::{DUTY_KEY, PREFIX, RECORD_TTL, follow_members, register};
pub use peer_port::{PeerPort, reply_to_digest};
pub use receive::{DocumentFetch, receive_digest};
pub use reply_budget::ReplyBudget;
pub use stream_copies::{
    COPIES_PATH, CopiesTaken, FIND_PATH, FindStreams, copy_streams, find_stream, hand_over_streams,
};
pub use version_servers::{
    FindServers, SERVERS_PATH, VersionServers, known_servers, learn_servers, used_until,
};
pub use watches::{ReportedProof, WatchReport, WatchSubject, Watches};

/// `MemberUpdates` are updates of the records of nodes in the key-value service.
pub type MemberUpdates = Updates<NodeName, MemberRecord>;

/// Returns a time in whole milliseconds.
pub fn as_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
