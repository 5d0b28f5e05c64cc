//! The list of entry points that callers receive.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{Incarnation, Revision},
    name::{NodeName, ZoneName},
};

/// An `EntryList` is the list of entry points for a caller, best first, with its time to live.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryList {
    /// The entry points, in the order in which the caller should try them.
    pub entries: Vec<EntryPoint>,
    /// The time for which the caller may cache the list, in milliseconds.
    pub time_to_live_ms: u64,
    /// The configuration revision in force on the node that sends the list.
    pub revision: Revision,
}

/// An `EntryPoint` is an address that accepts callers' requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPoint {
    /// The node that listens on the address.
    pub node: NodeName,
    /// The availability zone of the node.
    pub zone: ZoneName,
    /// The address for callers.
    pub address: SocketAddr,
    /// The incarnation of the node; a ticket is bound to it.
    pub incarnation: Incarnation,
    /// The ticket for non-repeatable calls to this incarnation of the node.
    pub ticket: String,
}
