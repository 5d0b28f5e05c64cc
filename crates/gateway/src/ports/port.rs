//! The limits of the ports of a node.

use std::net::SocketAddr;

use bulrushhall_external::http::{CloseReason, NodeMemory, PortShare};

use crate::{capacity_settings::CapacitySettings, meters, settings::PortSettings};

/// The connections of callers. The descriptors of the smallest supported VM are for those of all ports and for those to
/// backend servers.
const CALLERS: PortShare = PortShare { share: 0.3, min: 64, max: 2_000 };
/// The connections on which callers look up the nodes.
const DIRECTORY: PortShare = PortShare { share: 0.04, min: 32, max: 400 };
/// The connections of other nodes.
const PEERS: PortShare = PortShare { share: 0.08, min: 64, max: 1_000 };
/// The connections of the platform's readiness check.
const READINESS: PortShare = PortShare { share: 0.0, min: 32, max: 32 };

/// A `Port` is a port of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// For callers' requests.
    Callers,
    /// For the lookup of nodes.
    Directory,
    /// For other nodes.
    Peers,
    /// For the platform's readiness check.
    Readiness,
}

impl Port {
    /// Returns its label in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Port::Callers => "callers",
            Port::Directory => "directory",
            Port::Peers => "peers",
            Port::Readiness => "readiness",
        }
    }

    /// Returns how many connections it may have.
    pub fn max_connections(self, capacity: &CapacitySettings) -> usize {
        let share = match self {
            Port::Callers => CALLERS,
            Port::Directory => DIRECTORY,
            Port::Peers => PEERS,
            Port::Readiness => READINESS,
        };
        share.connections(NodeMemory::new(capacity.memory_mb))
    }

    /// Counts a connection that was closed to stay within the limits of the port.
    pub fn note_closed(self, reason: CloseReason) {
        meters::connection_closed(self.as_str(), reason.as_str());
    }

    /// Returns its address.
    pub fn address(self, ports: &PortSettings) -> SocketAddr {
        match self {
            Port::Callers => ports.callers,
            Port::Directory => ports.directory,
            Port::Peers => ports.peers,
            Port::Readiness => ports.readiness,
        }
    }
}
