//! When a node may use its part of the headroom for retries.

use std::time::Duration;

use bulrushhall_core::Stamp;

use crate::node_share::{NodeShare, PeakNodes};

/// How long it takes until all nodes know a new one, and have left its part of the headroom to it.
const JOIN_TIME: Duration = Duration::from_secs(2);

/// A `MemberView` is what a node knows of all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The number of all nodes, this one included.
    pub nodes: u32,
    /// The number of nodes before this one, by their names.
    pub rank: u32,
    /// Whether the other nodes are known to count this one.
    pub is_counted: bool,
}

/// A `HeadroomShare` determines the part of the headroom that a node may use.
///
/// The parts of a window must not be more than the headroom, although each node only knows its own. A node therefore divides by
/// the most nodes of the last window, in the order of then, has no part for a window after it has joined, since an earlier process may have used it, and
/// none while the others may not count it: a window after they have dropped it, they use its part.
#[derive(Clone, Debug)]
pub struct HeadroomShare {
    window: Duration,
    /// Whether earlier processes may have used the part.
    may_be_used: bool,
    joined_at: Option<Stamp>,
    counted_at: Option<Stamp>,
    /// Whether the others are known to count this node now.
    is_counted: bool,
    peak: PeakNodes,
    /// The most nodes before this one.
    peak_rank: PeakNodes,
    share: NodeShare,
}

impl HeadroomShare {
    /// Returns the share at the start of a process; `is_first` is whether the whole system starts for the first time.
    pub fn new(window: Duration, is_first: bool) -> HeadroomShare {
        HeadroomShare {
            window,
            may_be_used: !is_first,
            joined_at: None,
            counted_at: None,
            is_counted: false,
            peak: PeakNodes::default(),
            peak_rank: PeakNodes::default(),
            share: NodeShare { nodes: 1, rank: 0 },
        }
    }

    /// Notes what is known of the nodes, which has to happen several times in a window.
    pub fn note(&mut self, now: Stamp, view: MemberView) {
        let nodes = self.peak.note(now, view.nodes, self.window);
        // Nodes that have ended may have used the retries that their ranks allowed.
        let rank = self.peak_rank.note(now, view.rank, self.window);
        self.share = NodeShare { nodes, rank };
        self.is_counted = view.is_counted;
        if !view.is_counted {
            return;
        }
        let is_new = self.counted_at.is_none_or(|at| self.window <= now.since(at));
        if is_new && self.may_be_used {
            self.joined_at = Some(now);
        }
        // Another node may use the part from now on while this one isn't counted.
        self.may_be_used = true;
        self.counted_at = Some(now);
    }

    /// Notes that the retries of the earlier process are known, which ended at `ended_at`.
    pub fn inherit(&mut self, now: Stamp, ended_at: Stamp) {
        // Later on the others may have begun to use its part.
        if now.since(ended_at) < self.window / 2 {
            (self.joined_at, self.may_be_used) = (None, false);
        }
    }

    /// Returns the number of nodes among which the headroom is divided.
    pub fn nodes(&self) -> u32 {
        self.share.nodes
    }

    /// Returns the share; none if the node may not use it, by what was noted last.
    pub fn get(&self, now: Stamp) -> Option<NodeShare> {
        let has_joined = self.joined_at.is_none_or(|at| self.window + JOIN_TIME <= now.since(at));
        (self.is_counted && has_joined).then_some(self.share)
    }
}
