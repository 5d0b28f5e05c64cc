//! The part of a node in what all nodes share.

use std::{collections::VecDeque, time::Duration};

use bulrushhall_core::Stamp;

/// A `NodeShare` is the part of one node in an amount that is divided among all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeShare {
    /// The number of all nodes.
    pub nodes: u32,
    /// The number of nodes before this one, by their names.
    pub rank: u32,
}

impl NodeShare {
    /// Returns the part of this node; the parts of all nodes together are the amount.
    pub fn of(self, amount: u32) -> u32 {
        let nodes = self.nodes.max(1);
        amount / nodes + u32::from(self.rank < amount % nodes)
    }
}

/// `PeakNodes` is the most nodes that were known at once in the last window.
///
/// Nodes that have left the list may still send, or have sent in the window.
#[derive(Clone, Debug, Default)]
pub struct PeakNodes {
    /// The counts that no later one has reached, with the last time of each.
    counts: VecDeque<(Stamp, u32)>,
}

impl PeakNodes {
    /// Notes the number of nodes, and returns the most within the last `window`.
    pub fn note(&mut self, now: Stamp, nodes: u32, window: Duration) -> u32 {
        while self.counts.back().is_some_and(|(_, count)| *count <= nodes) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, nodes));
        while self.counts.front().is_some_and(|(at, _)| window <= now.since(*at)) {
            self.counts.pop_front();
        }
        self.counts.front().map_or(nodes, |(_, count)| *count)
    }
}
