//! Sizes, limits and timeouts of claims.

use std::time::Duration;

use super::record::KeyHash;

/// A `Shard` is the index of one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(pub u16);

/// `ClaimsOptions` set the sizes, limits and timeouts of claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimsOptions {
    /// The number of records over which keys are spread.
    pub shards: u16,
    /// How long a claim is kept, by the wall clocks of the nodes.
    pub retention: Duration,
    /// How much the wall clocks of two nodes may differ; claims are kept this much longer.
    pub max_clock_skew: Duration,
    /// The upper bound of the claims in one record.
    pub max_claims: usize,
    /// How long a caller waits for its claim.
    pub timeout: Duration,
    /// The delay after a failed call to the key-value service.
    pub retry_delay: Duration,
}

impl Default for ClaimsOptions {
    fn default() -> Self {
        ClaimsOptions {
            shards: 16,
            retention: Duration::from_secs(24 * 3600),
            max_clock_skew: Duration::from_secs(3600),
            max_claims: 30_000,
            timeout: Duration::from_secs(2),
            retry_delay: Duration::from_millis(50),
        }
    }
}

impl ClaimsOptions {
    /// Returns the record that holds the claim of a key.
    pub fn shard_of(&self, key: KeyHash) -> Shard {
        let shard = key.0 % u128::from(self.shards.max(1));
        Shard(u16::try_from(shard).unwrap_or(0))
    }
}
