//! The prefix cache of a simulated engine; the least recently used blocks are evicted first.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of tokens of one block.
pub const BLOCK_TOKENS: usize = 16;

/// A `PrefixCache` is a set of block hashes; the hash of a block also covers all tokens before it.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    last_use: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    use_count: u64,
    changes: Vec<(u64, bool)>,
}

impl PrefixCache {
    /// Returns an empty cache with a capacity of `tokens` tokens.
    pub fn new(tokens: u32) -> PrefixCache {
        let capacity = usize::try_from(tokens).unwrap_or(usize::MAX) / BLOCK_TOKENS;
        PrefixCache { capacity, ..PrefixCache::default() }
    }

    /// Returns how many consecutive blocks from the first one on are cached.
    pub fn cached_prefix_len(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.last_use.contains_key(block)).count()
    }

    /// Adds the blocks as the most recently used, and evicts the least recently used over capacity.
    pub fn insert(&mut self, blocks: &[u64]) {
        for &block in blocks {
            self.use_count += 1;
            match self.last_use.insert(block, self.use_count) {
                Some(previous) => drop(self.by_last_use.remove(&previous)),
                None => self.changes.push((block, true)),
            }
            self.by_last_use.insert(self.use_count, block);
        }
        while self.capacity < self.last_use.len() {
            let Some((_, block)) = self.by_last_use.pop_first() else { break };
            self.last_use.remove(&block);
            self.changes.push((block, false));
        }
    }

    /// Returns the number of cached tokens.
    pub fn tokens(&self) -> u32 {
        u32::try_from(self.last_use.len() * BLOCK_TOKENS).unwrap_or(u32::MAX)
    }

    /// Returns the changes since the last call: each a block and whether it was added.
    pub fn take_changes(&mut self) -> Vec<(u64, bool)> {
        std::mem::take(&mut self.changes)
    }
}

/// Returns the hashes of the full blocks of a sequence of tokens.
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
