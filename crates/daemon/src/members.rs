//! The nodes that a node believes to be alive.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use bulrushhall_core::{Incarnation, NodeName, VmName, ZoneName};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// A `Member` is one life of a node, as others are told of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node.
    pub node: NodeName,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// The VM that it runs on.
    pub vm: VmName,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other nodes connect.
    pub peers: SocketAddr,
    /// Whether it takes no new work; once set for a life, never cleared.
    pub leaving: bool,
    /// Its free capacity in relation to other nodes', for the order of callers' addresses.
    #[serde(default)]
    pub capacity: u32,
    /// Whether this node has not heard of it for a while.
    #[serde(skip)]
    pub suspected: bool,
}

/// `Members` are the lives of other nodes that are believed to be alive, leaving ones included.
///
/// This is hearsay: it may be old, and nothing that must be safe rests on it.
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
    /// Returns the present members, this node left out, in the order of their names.
    pub fn current(&self) -> Arc<Vec<Member>> {
        self.current.load_full()
    }

    /// Returns the member with an incarnation.
    pub fn find(&self, incarnation: Incarnation) -> Option<Member> {
        self.current.load().iter().find(|member| member.incarnation == incarnation).cloned()
    }

    /// Puts new members in place of the present ones.
    pub fn replace(&self, mut members: Vec<Member>) {
        members.sort_by(|a, b| a.node.cmp(&b.node));
        if **self.current.load() == members {
            return;
        }
        self.current.store(Arc::new(members));
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that sees each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}
