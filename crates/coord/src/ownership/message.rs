//! The messages that nodes exchange about the ownership of requests.

use bulrushhall_core::{Incarnation, RequestId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A `Version` orders the claims to one request: the greatest wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// The count of takeovers and handovers.
    pub epoch: u32,
    /// The count of holder changes over all epochs; of two holders the later has more of the state.
    pub generation: u32,
    /// The owner; it breaks the tie between two takeovers with equal epoch and generation.
    pub owner: Incarnation,
}

/// A `Message` is sent from one node to another; it may be lost, duplicated, delayed or reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The owner, or a leaving holder, sends the whole state of the request to a new holder.
    Copy {
        /// The request.
        id: RequestId,
        /// The owner's version.
        version: Version,
        /// The serialized request that its owner runs.
        body: Bytes,
        /// The tokens produced so far.
        tokens: Vec<String>,
        /// The software version of the engine that produced the first token, if it is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        origin: Option<String>,
        /// The end of the response, once it has ended.
        end: Option<Bytes>,
    },
    /// The owner appends to the state that a holder has: a checkpoint.
    Progress {
        /// The request.
        id: RequestId,
        /// The owner's version.
        version: Version,
        /// The index of the first token in the message.
        from: usize,
        /// The tokens from that index on.
        tokens: Vec<String>,
        /// The software version of the engine that produced the first token, if it is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        origin: Option<String>,
        /// The end of the response, once it has ended.
        end: Option<Bytes>,
    },
    /// The holder acknowledges the state that it has.
    Ack {
        /// The request.
        id: RequestId,
        /// The version of the message that is answered.
        version: Version,
        /// The number of tokens that the holder has.
        count: usize,
        /// Whether the holder has the end of the response.
        ended: bool,
    },
    /// The receiver of progress has no copy to append it to.
    Missing {
        /// The request.
        id: RequestId,
        /// The version of the message that is answered.
        version: Version,
    },
    /// The owner offers the request to the receiver, which is to own it under a new version.
    Offer {
        /// The request.
        id: RequestId,
        /// The version under which the receiver is to own it.
        version: Version,
        /// The serialized request that its owner runs.
        body: Bytes,
        /// The tokens produced so far.
        tokens: Vec<String>,
        /// The software version of the engine that produced the first token, if it is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        origin: Option<String>,
    },
    /// Names the owner that the sender knows of; a new owner sends it once its request is copied.
    Claim {
        /// The request.
        id: RequestId,
        /// The version under which the request is owned.
        version: Version,
    },
    /// A holder asks whether its copy is still needed.
    Ask {
        /// The request.
        id: RequestId,
        /// The version of the copy.
        version: Version,
    },
    /// A leaving holder has passed its copy on to another peer and accepts no more progress.
    PassedOn {
        /// The request.
        id: RequestId,
        /// The version of the copy.
        version: Version,
        /// The peer that it was passed on to.
        to: Incarnation,
    },
    /// The receiver's copy is obsolete if it has this version or an older one.
    Drop {
        /// The request.
        id: RequestId,
        /// The newest version whose copies are obsolete.
        version: Version,
    },
}

impl Message {
    /// Returns the request that the message concerns.
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
