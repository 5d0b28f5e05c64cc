//! The blocks that an engine's prefix cache is believed to hold.

use std::collections::{HashSet, VecDeque};

/// `PrefixHints` are the blocks that one engine is believed to hold.
///
/// Cache events come late and with gaps, so a block may be missing here or long gone there. A
/// wrong hint costs a recomputed prefix and nothing else.
#[derive(Clone, Debug, Default)]
pub struct PrefixHints {
    held: HashSet<u64>,
    order: VecDeque<u64>,
}

impl PrefixHints {
    /// Notes a block; beyond `limit` blocks the oldest notes go first.
    pub fn insert(&mut self, block: u64, limit: usize) {
        if !self.held.insert(block) {
            return;
        }
        self.order.push_back(block);
        // Removed blocks leave their place in the order; both are bounded by the limit.
        while limit < self.order.len() {
            let Some(oldest) = self.order.pop_front() else { return };
            self.held.remove(&oldest);
        }
    }

    /// Notes that a block is gone.
    pub fn remove(&mut self, block: u64) {
        self.held.remove(&block);
    }

    /// Returns how many of the leading blocks are believed to be held.
    ///
    /// A block's hash covers all before it, so an engine that holds one held those before it too:
    /// a binary search finds the last one in a few look-ups.
    pub fn leading(&self, blocks: &[u64]) -> usize {
        blocks.partition_point(|block| self.held.contains(block))
    }

    /// Returns how many blocks are believed to be held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
