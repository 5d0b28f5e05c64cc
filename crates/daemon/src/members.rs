//! The nodes that a node considers alive.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use bulrushhall_core::{Incarnation, NodeName, VmName, ZoneName};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// A `Member` is one incarnation of a node, as it is advertised to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node.
    pub node: NodeName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The VM that it runs on.
    pub vm: VmName,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other nodes connect.
    pub peers: SocketAddr,
    /// Whether it refuses new work; never cleared within an incarnation.
    pub leaving: bool,
    /// Its free capacity relative to other nodes', for the order of the addresses given to callers.
    #[serde(default)]
    pub capacity: u32,
    /// Whether it has been silent and is suspected to be dead.
    #[serde(skip)]
    pub suspected: bool,
}

/// `Members` are the other nodes' incarnations that are considered alive, including leaving ones.
///
/// The list comes from gossip and may be outdated; no safety property may depend on it.
pub struct Members {
    current: ArcSwap<Vec<Member>>,
    changed: watch::Sender<u64>,
}

impl Default for Members {
    fn default() -> Self {
        Members { current: ArcSwap::default(), changed: watch::Sender::new(0) }
    }
}

impl Members {
    /// Returns the current members without this node, ordered by name.
    pub fn current(&self) -> Arc<Vec<Member>> {
        self.current.load_full()
    }

    /// Returns the member with an incarnation.
    pub fn find(&self, incarnation: Incarnation) -> Option<Member> {
        self.current.load().iter().find(|member| member.incarnation == incarnation).cloned()
    }

    /// Replaces the members.
    pub fn replace(&self, mut members: Vec<Member>) {
        members.sort_by(|a, b| a.node.cmp(&b.node));
        if **self.current.load() == members {
            return;
        }
        self.current.store(Arc::new(members));
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified of each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}
