//! The blocks that engines' prefix caches are believed to hold.

use std::collections::{HashMap, VecDeque};

use slotmap::SecondaryMap;

use crate::placement::WorkerKey;

/// The most engines whose caches are followed; the others are placed on without hints.
const ENGINES_MAX: usize = 128;

/// The leading blocks that each followed engine is believed to hold.
pub type HeldBlocks = [u32; ENGINES_MAX];

/// `PrefixHints` tell which engines are believed to hold which blocks.
///
/// Cache events come late and with gaps, so a block may be missing here or long gone there. A
/// wrong hint costs a recomputed prefix and nothing else.
#[derive(Debug, Default)]
pub struct PrefixHints {
    /// For each block one bit for each engine.
    holders: HashMap<u64, u128>,
    engines: SecondaryMap<WorkerKey, Followed>,
    free: Vec<u32>,
    used: u32,
}

/// An engine whose cache is followed.
#[derive(Debug)]
struct Followed {
    bit: u32,
    order: VecDeque<u64>,
}

impl PrefixHints {
    /// Notes that an engine holds a block; beyond `limit` blocks its oldest notes go first.
    pub fn insert(&mut self, worker: WorkerKey, block: u64, limit: usize) {
        let Some(bit) = self.follow(worker) else { return };
        let holders = self.holders.entry(block).or_default();
        if *holders & 1 << bit != 0 {
            return;
        }
        *holders |= 1 << bit;
        let Some(engine) = self.engines.get_mut(worker) else { return };
        engine.order.push_back(block);
        // Dropped blocks leave their place in the order, so both are bounded by the limit.
        if limit < engine.order.len()
            && let Some(oldest) = engine.order.pop_front()
        {
            self.clear(oldest, bit);
        }
    }

    /// Notes that an engine no longer holds a block.
    pub fn remove(&mut self, worker: WorkerKey, block: u64) {
        let Some(bit) = self.engines.get(worker).map(|engine| engine.bit) else { return };
        self.clear(block, bit);
    }

    /// Drops all notes about an engine.
    pub fn forget(&mut self, worker: WorkerKey) {
        let Some(engine) = self.engines.remove(worker) else { return };
        for block in engine.order {
            self.clear(block, engine.bit);
        }
        self.free.push(engine.bit);
    }

    /// Writes into `blocks_held` how many of the leading blocks each engine is believed to hold,
    /// at the place that [`PrefixHints::place_of`] names.
    ///
    /// A block's hash covers all before it, so the last block that an engine holds counts for all
    /// of them: a lost event for an earlier one does no harm.
    pub fn leading(&self, blocks: &[u64], blocks_held: &mut HeldBlocks) {
        blocks_held.fill(0);
        let mut seen = 0;
        for (at, block) in blocks.iter().enumerate().rev() {
            let Some(holders) = self.holders.get(block) else { continue };
            let mut new = holders & !seen;
            seen |= new;
            while new != 0 {
                let bit = new.trailing_zeros();
                new &= new - 1;
                blocks_held[bit as usize] = u32::try_from(at + 1).unwrap_or(u32::MAX);
            }
        }
    }

    /// Returns the place of an engine in the answers of [`PrefixHints::leading`].
    pub fn place_of(&self, worker: WorkerKey) -> Option<usize> {
        self.engines.get(worker).map(|engine| engine.bit as usize)
    }

    /// Returns an array that [`PrefixHints::leading`] can write into.
    pub fn scratch() -> HeldBlocks {
        [0; ENGINES_MAX]
    }

    fn follow(&mut self, worker: WorkerKey) -> Option<u32> {
        if let Some(engine) = self.engines.get(worker) {
            return Some(engine.bit);
        }
        let bit = match self.free.pop() {
            Some(bit) => bit,
            None if (self.used as usize) < ENGINES_MAX => {
                self.used += 1;
                self.used - 1
            }
            None => return None,
        };
        self.engines.insert(worker, Followed { bit, order: VecDeque::new() });
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
