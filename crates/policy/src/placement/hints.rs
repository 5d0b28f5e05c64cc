//! Hints about the blocks in the prefix caches of engines.

use std::collections::{HashMap, VecDeque};

use slotmap::SecondaryMap;

use crate::placement::WorkerKey;

/// The maximum number of engines whose caches are tracked; there are no hints for the others.
const MAX_ENGINES: usize = 128;

/// For each tracked engine, the number of leading blocks that it probably caches.
pub type CachedBlocks = [u32; MAX_ENGINES];

/// `PrefixHints` track which engines probably cache which blocks.
///
/// Cache events arrive late and some are lost, so a cached block may be missing here and an evicted
/// one may still be listed. A wrong hint only costs a recomputed prefix.
#[derive(Debug, Default)]
pub struct PrefixHints {
    /// For each block a bitmap of the engines that cache it.
    holders: HashMap<u64, u128>,
    engines: SecondaryMap<WorkerKey, TrackedEngine>,
    free_bits: Vec<u32>,
    used_bits: u32,
}

/// An engine whose cache is tracked.
#[derive(Debug)]
struct TrackedEngine {
    bit: u32,
    insertion_order: VecDeque<u64>,
}

impl PrefixHints {
    /// Records that an engine caches a block; beyond `limit` blocks its oldest entry is dropped.
    pub fn insert(&mut self, worker: WorkerKey, block: u64, limit: usize) {
        let Some(bit) = self.track(worker) else { return };
        let holders = self.holders.entry(block).or_default();
        if *holders & 1 << bit != 0 {
            return;
        }
        *holders |= 1 << bit;
        let Some(engine) = self.engines.get_mut(worker) else { return };
        engine.insertion_order.push_back(block);
        // A removed block keeps its place in the insertion order, so the limit bounds both.
        if limit < engine.insertion_order.len()
            && let Some(oldest) = engine.insertion_order.pop_front()
        {
            self.clear(oldest, bit);
        }
    }

    /// Records that an engine evicted a block.
    pub fn remove(&mut self, worker: WorkerKey, block: u64) {
        let Some(bit) = self.engines.get(worker).map(|engine| engine.bit) else { return };
        self.clear(block, bit);
    }

    /// Removes an engine with all its hints.
    pub fn remove_worker(&mut self, worker: WorkerKey) {
        let Some(engine) = self.engines.remove(worker) else { return };
        for block in engine.insertion_order {
            self.clear(block, engine.bit);
        }
        self.free_bits.push(engine.bit);
    }

    /// Writes into `cached_blocks` how many of the leading blocks each engine probably caches, at
    /// the index that [`PrefixHints::index_of`] returns.
    ///
    /// The hash of a block covers all blocks before it, so the last cached block implies the
    /// earlier ones, and a lost event for one of these does no harm.
    pub fn leading_blocks(&self, blocks: &[u64], cached_blocks: &mut CachedBlocks) {
        cached_blocks.fill(0);
        let mut seen = 0;
        for (at, block) in blocks.iter().enumerate().rev() {
            let Some(holders) = self.holders.get(block) else { continue };
            let mut new = holders & !seen;
            seen |= new;
            while new != 0 {
                let bit = new.trailing_zeros();
                new &= new - 1;
                cached_blocks[bit as usize] = u32::try_from(at + 1).unwrap_or(u32::MAX);
            }
        }
    }

    /// Returns the index of an engine in the output of [`PrefixHints::leading_blocks`].
    pub fn index_of(&self, worker: WorkerKey) -> Option<usize> {
        self.engines.get(worker).map(|engine| engine.bit as usize)
    }

    /// Returns a buffer for [`PrefixHints::leading_blocks`].
    pub fn scratch() -> CachedBlocks {
        [0; MAX_ENGINES]
    }

    fn track(&mut self, worker: WorkerKey) -> Option<u32> {
        if let Some(engine) = self.engines.get(worker) {
            return Some(engine.bit);
        }
        let bit = match self.free_bits.pop() {
            Some(bit) => bit,
            None if (self.used_bits as usize) < MAX_ENGINES => {
                self.used_bits += 1;
                self.used_bits - 1
            }
            None => return None,
        };
        self.engines.insert(worker, TrackedEngine { bit, insertion_order: VecDeque::new() });
        Some(bit)
    }

    fn clear(&mut self, block: u64, bit: u32) {
        let Some(holders) = self.holders.get_mut(&block) else { return };
        *holders &= !(1 << bit);
        if *holders == 0 {
            self.holders.remove(&block);
        }
    }
}
