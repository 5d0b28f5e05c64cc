//! The messages between an owner, a holder and others who may believe to be either.

use bulrushhall_core::{Incarnation, RequestId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A `Version` orders the claims to one request: the greatest holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// The count of takeovers and handovers.
    pub epoch: u32,
    /// The count of holders within the epochs so far; of two holders the later knows more.
    pub generation: u32,
    /// The owner; it settles the order of two takeovers that are equal otherwise.
    pub owner: Incarnation,
}

/// A `Message` passes between two nodes; each may be lost, repeated, late or out of order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The owner gives the whole state to a holder.
    Copy {
        /// The request.
        id: RequestId,
        /// The owner's version.
        version: Version,
        /// The request as its owner needs it.
        body: Bytes,
        /// The tokens so far.
        tokens: Vec<String>,
        /// How the answer ended, if it did.
        end: Option<Bytes>,
    },
    /// The owner adds to the state that a holder has.
    Progress {
        /// The request.
        id: RequestId,
        /// The owner's version.
        version: Version,
        /// The number of the first token in the message.
        from: usize,
        /// The tokens from there on.
        tokens: Vec<String>,
        /// How the answer ended, if it did.
        end: Option<Bytes>,
    },
    /// The holder has this much.
    Ack {
        /// The request.
        id: RequestId,
        /// The version that is answered.
        version: Version,
        /// The number of tokens that the holder has.
        count: usize,
        /// Whether the holder has the end.
        ended: bool,
    },
    /// The receiver of progress has nothing to add it to.
    Missing {
        /// The request.
        id: RequestId,
        /// The version that is answered.
        version: Version,
    },
    /// The owner wants the receiver to own the request under a new version.
    Offer {
        /// The request.
        id: RequestId,
        /// The version that the receiver is to own it under.
        version: Version,
        /// The request as its owner needs it.
        body: Bytes,
        /// The tokens so far.
        tokens: Vec<String>,
    },
    /// The sender owns the request and has had it copied.
    Claim {
        /// The request.
        id: RequestId,
        /// The version under which it is owned.
        version: Version,
    },
    /// A holder asks whether its copy is still needed.
    Ask {
        /// The request.
        id: RequestId,
        /// The version of the copy.
        version: Version,
    },
    /// A leaving holder has given its copy to another peer and takes no more progress.
    PassedOn {
        /// The request.
        id: RequestId,
        /// The version of the copy.
        version: Version,
        /// The peer that it was given to.
        to: Incarnation,
    },
    /// The receiver's copy of this version or an older one is not needed any more.
    Drop {
        /// The request.
        id: RequestId,
        /// The newest version whose copies are not needed.
        version: Version,
    },
}

impl Message {
    /// Returns the request that the message is about.
    pub fn id(&self) -> RequestId {
        match self {
            Message::Copy { id, .. }
            | Message::Progress { id, .. }
            | Message::Ack { id, .. }
            | Message::Missing { id, .. }
            | Message::Offer { id, .. }
            | Message::Claim { id, .. }
            | Message::Ask { id, .. }
            | Message::PassedOn { id, .. }
            | Message::Drop { id, .. } => *id,
        }
    }
}
