//! Keys of streams.

use bulrushhall_core::TeamName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// The byte between the parts of a key; names and ids of callers do not contain it.
const SEPARATOR: u8 = 0;

/// A `StreamKey` is the hash of a team and of the id of an attempt that passed events of a stream on.
///
/// The key includes the team, so that an id names nothing to another team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of an attempt; callers of routes without keys have no team.
    pub fn new(team: Option<&TeamName>, attempt: &str) -> StreamKey {
        let mut hash = Xxh3::new();
        hash.update(team.map_or("", TeamName::as_str).as_bytes());
        hash.update(&[SEPARATOR]);
        hash.update(attempt.as_bytes());
        StreamKey(hash.digest())
    }

    /// Returns the rank of a node among those that hold copies of the stream's origin.
    pub fn score(self, node: u64) -> u64 {
        xxh3_64_with_seed(&self.0.to_le_bytes(), node)
    }
}
