//! The nodes whose addresses a caller receives, and their order.

use bulrushhall_core::{Incarnation, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The upper bound of the addresses that a caller receives.
pub const MAX_ADDRESSES: usize = 4;

/// A `Candidate` is a node whose address callers may receive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its free capacity relative to the other candidates'.
    pub capacity: u32,
    /// Whether its heartbeats have been missing for longer than the suspicion timeout.
    pub suspected: bool,
}

/// A `Headroom` is a node's free capacity in a few levels.
///
/// Each change of the level is sent to all nodes and moves some callers to other addresses, so
/// there are few levels, with hysteresis between them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Headroom {
    level: usize,
}

/// The upper limit of the load and the weight of each level.
const LEVELS: [(f64, u32); 4] = [(0.35, 8), (0.6, 5), (0.85, 2), (f64::INFINITY, 1)];
/// How far the load must be below a level's limit before that level applies again.
const HYSTERESIS: f64 = 0.08;

/// Returns up to `count` candidates for a caller, best first, from two zones if there are two.
///
/// Weighted rendezvous hashing gives each caller an order of its own: a caller keeps its first
/// address while that node is alive, which keeps its prefixes cached, and the callers of a node
/// that leaves are spread over many others.
pub fn order(caller: u64, candidates: &[Candidate], count: usize) -> Vec<&Candidate> {
    let mut ranked: Vec<&Candidate> = candidates.iter().collect();
    ranked.sort_by(|a, b| {
        let by_score = score(caller, b).total_cmp(&score(caller, a));
        a.suspected.cmp(&b.suspected).then(by_score).then(a.incarnation.cmp(&b.incarnation))
    });
    // The second address is in another zone: VMs of a zone are reclaimed together, and a caller
    // that loses its first two addresses that way would have to time out on both.
    let other_zone = ranked.iter().skip(1).position(|other| other.zone != ranked[0].zone);
    if let Some(at) = other_zone {
        let other = ranked.remove(at + 1);
        ranked.insert(1, other);
    }
    ranked.truncate(count);
    ranked
}

impl Headroom {
    /// Updates the level by the node's load, where 1 is its full capacity; returns the weight.
    pub fn weigh(&mut self, load: f64) -> u32 {
        while LEVELS[self.level].0 <= load {
            self.level += 1;
        }
        while 0 < self.level && load < LEVELS[self.level - 1].0 - HYSTERESIS {
            self.level -= 1;
        }
        LEVELS[self.level].1
    }
}

// Returns the score of weighted rendezvous hashing: a node gets callers in proportion to its
// capacity, and a change of one node's capacity moves callers only to or from that node.
fn score(caller: u64, candidate: &Candidate) -> f64 {
    let hash = xxh3_64_with_seed(&candidate.incarnation.0.to_le_bytes(), caller);
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    f64::from(candidate.capacity.max(1)) / -uniform.ln()
}
