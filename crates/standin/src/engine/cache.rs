//! The prefix cache of a stand-in engine: blocks of tokens, the least recently used go first.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The tokens of one block.
pub const BLOCK_TOKENS: usize = 16;

/// A `PrefixCache` holds hashes of blocks; a block's hash covers all tokens before it too.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
    changes: Vec<(u64, bool)>,
}

impl PrefixCache {
    /// Returns an empty cache for `tokens` tokens.
    pub fn new(tokens: u32) -> PrefixCache {
        let capacity = usize::try_from(tokens).unwrap_or(usize::MAX) / BLOCK_TOKENS;
        PrefixCache { capacity, ..PrefixCache::default() }
    }

    /// Returns how many of the leading `blocks` are held.
    pub fn leading(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.used.contains_key(block)).count()
    }

    /// Takes the blocks in, as used just now, and drops the least recently used beyond capacity.
    pub fn hold(&mut self, blocks: &[u64]) {
        for &block in blocks {
            self.clock += 1;
            match self.used.insert(block, self.clock) {
                Some(before) => drop(self.order.remove(&before)),
                None => self.changes.push((block, true)),
            }
            self.order.insert(self.clock, block);
        }
        while self.capacity < self.used.len() {
            let Some((_, block)) = self.order.pop_first() else { break };
            self.used.remove(&block);
            self.changes.push((block, false));
        }
    }

    /// Returns the number of tokens held.
    pub fn tokens(&self) -> u32 {
        u32::try_from(self.used.len() * BLOCK_TOKENS).unwrap_or(u32::MAX)
    }

    /// Takes out the changes since the last call: each a block and whether it is held now.
    pub fn take_changes(&mut self) -> Vec<(u64, bool)> {
        std::mem::take(&mut self.changes)
    }
}

/// Returns the hashes of the full blocks of a row of tokens.
pub fn block_hashes<'a>(tokens: impl Iterator<Item = &'a str>) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut hash = 0;
    for (at, token) in tokens.enumerate() {
        hash = xxh3_64_with_seed(token.trim_end().as_bytes(), hash);
        if (at + 1) % BLOCK_TOKENS == 0 {
            hashes.push(hash);
        }
    }
    hashes
}
