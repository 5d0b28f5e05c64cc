//! The answer to a caller that asks which addresses to use.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Incarnation, Revision},
    name::{NodeName, ZoneName},
};

/// An `EntryList` tells a caller which addresses to use, best first, and for how long.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryList {
    /// The addresses, in the order in which the caller should try them.
    pub entries: Vec<EntryPoint>,
    /// How long the answer may be kept, in milliseconds.
    pub time_to_live_ms: u64,
    /// The configuration revision that the answering node has in force.
    pub revision: Revision,
}

/// An `EntryPoint` is one address that takes callers' requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPoint {
    /// The node behind the address.
    pub node: NodeName,
    /// The availability zone of the node.
    pub zone: ZoneName,
    /// The address for callers.
    pub address: SocketAddr,
    /// The life of the node's process; a ticket is bound to it.
    pub incarnation: Incarnation,
    /// The ticket for non-repeatable calls sent to this life of the node.
    pub ticket: String,
}
