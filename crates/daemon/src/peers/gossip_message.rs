//! The message that membership sends.

use bulrushhall_coord::Gossip;
use serde::{Deserialize, Serialize};

use crate::{members::Member, peers::PeerMessage};

/// A `GossipMessage` tells the receiver about members; the reply tells the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// What it tells.
    #[serde(rename = "g")]
    pub gossip: Gossip<Member>,
}

impl PeerMessage for GossipMessage {
    const PATH: &'static str = "/members";
    type Reply = Vec<Gossip<Member>>;
}
