//! The message that membership sends.

use bulrushhall_coord::Gossip;
use serde::{Deserialize, Serialize};

use crate::{members::Member, peers::PeerMessage};

/// A `Spread` tells the receiver about members; the reply tells the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spread {
    /// What it tells.
    #[serde(rename = "g")]
    pub gossip: Gossip<Member>,
}

impl PeerMessage for Spread {
    const PATH: &'static str = "/members";
    type Reply = Vec<Gossip<Member>>;
}
