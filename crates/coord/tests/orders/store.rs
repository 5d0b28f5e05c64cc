//! One record a shard, with compare-and-swap.

use std::collections::BTreeMap;

use bulrushhall_coord::{Shard, SwapResult};
use bytes::Bytes;

/// A `Store` holds versioned records.
#[derive(Debug, Default)]
pub struct Store {
    records: BTreeMap<Shard, (u64, Bytes)>,
    version: u64,
}

impl Store {
    pub fn get(&self, shard: Shard) -> (u64, Bytes) {
        self.records.get(&shard).cloned().unwrap_or_default()
    }

    pub fn swap(&mut self, shard: Shard, expected: u64, value: Bytes) -> SwapResult {
        let (version, found) = self.get(shard);
        if version != expected {
            return SwapResult::Conflict(version, found);
        }
        self.version += 1;
        self.records.insert(shard, (self.version, value));
        SwapResult::Written(self.version)
    }
}
