//! What every message between nodes carries.

use bulrushhall_core::{Incarnation, NodeName, Revision};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A `Sender` tells who sent a message and how new its configuration is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The node.
    pub node: NodeName,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// The configuration revision that it has in force.
    pub revision: Revision,
}

/// An `Envelope` is a message with its sender; replies are sent in one too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Who sent it.
    pub from: Sender,
    /// The life that it is meant for; another life at the same address refuses it.
    pub to: Option<Incarnation>,
    /// What it says.
    pub body: T,
}

/// A `PeerMessage` is one kind of message between nodes.
pub trait PeerMessage: Serialize + DeserializeOwned + Send + 'static {
    /// The path that it is sent to.
    const PATH: &'static str;
    /// What is replied.
    type Reply: Serialize + DeserializeOwned + Send + 'static;
}
