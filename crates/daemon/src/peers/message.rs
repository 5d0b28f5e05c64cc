//! The common parts of messages between nodes.

use bulrushhall_core::{Incarnation, NodeName, Revision};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A `Sender` is the sender of a message with its configuration revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The node.
    pub node: NodeName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The configuration revision that it has in force.
    pub revision: Revision,
}

/// An `Envelope` is a message or reply with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Who sent it.
    pub from: Sender,
    /// The incarnation that it is addressed to; another one at the same address refuses it.
    pub to: Option<Incarnation>,
    /// Its content.
    pub body: T,
}

/// A `PeerMessage` is one kind of message between nodes.
pub trait PeerMessage: Serialize + DeserializeOwned + Send + 'static {
    /// The path of its HTTP request.
    const PATH: &'static str;
    /// The type of the reply.
    type Reply: Serialize + DeserializeOwned + Send + 'static;
}
