//! The message of the membership protocol.

use bulrushhall_coord::Gossip;
use serde::{Deserialize, Serialize};

use crate::{members::Member, peers::PeerMessage};

/// A `GossipMessage` is gossip about members for the receiver; the reply contains gossip for the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The gossip.
    #[serde(rename = "g")]
    pub gossip: Gossip<Member>,
}

impl PeerMessage for GossipMessage {
    const PATH: &'static str = "/members";
    type Reply = Vec<Gossip<Member>>;
}
