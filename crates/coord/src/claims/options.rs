//! The sizes and times of claims.

use std::time::Duration;

use super::record::KeyHash;

/// A `Shard` is the number of one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(pub u16);

/// `ClaimsOptions` set the sizes and times of claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimsOptions {
    /// The number of records over which keys are spread.
    pub shards: u16,
    /// How long a claim is kept, by the wall clocks of the nodes.
    pub window: Duration,
    /// How far wall clocks of two nodes may differ; claims are kept this much longer.
    pub skew: Duration,
    /// The most claims in one record.
    pub entries: usize,
    /// How long a caller waits for its claim.
    pub timeout: Duration,
    /// The pause after a failed call to the service.
    pub pause: Duration,
}

impl Default for ClaimsOptions {
    fn default() -> Self {
        ClaimsOptions {
            shards: 16,
            window: Duration::from_secs(24 * 3600),
            skew: Duration::from_secs(3600),
            entries: 30_000,
            timeout: Duration::from_secs(2),
            pause: Duration::from_millis(50),
        }
    }
}

impl ClaimsOptions {
    /// Returns the record that a key's claim lies in.
    pub fn shard_of(&self, key: KeyHash) -> Shard {
        let shard = key.0 % u128::from(self.shards.max(1));
        Shard(u16::try_from(shard).unwrap_or(0))
    }
}
