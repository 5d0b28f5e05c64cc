//! Which addresses a caller is told to use, and in which order.

use bulrushhall_core::{Incarnation, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The addresses that a caller is told at most.
pub const MAX_ADDRESSES: usize = 4;

/// A `Candidate` is a node that callers may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its free capacity in relation to the other candidates'.
    pub capacity: u32,
    /// Whether it has not been heard of for a while.
    pub suspected: bool,
}

/// A `Headroom` is a node's free capacity in few levels.
///
/// Each change of level reaches all nodes and moves some callers to other addresses, so there are
/// few levels, and one is left only when the load is well past its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Headroom {
    level: usize,
}

/// The upper limit of the load of each level and the weight that the level gives.
const LEVELS: [(f64, u32); 4] = [(0.35, 8), (0.6, 5), (0.85, 2), (f64::INFINITY, 1)];
/// How far the load must be below a level's limit before the level is taken again.
const HYSTERESIS: f64 = 0.08;

/// Returns the candidates that a caller is told, best first, over two zones when there are two.
///
/// Weighted rendezvous hashing gives each caller an order of its own: a caller keeps its first
/// address while that lives, which keeps its prefixes cached, and the callers of a node that
/// leaves go to many others and not to one.
pub fn order(caller: u64, candidates: &[Candidate], count: usize) -> Vec<&Candidate> {
    let mut ranked: Vec<&Candidate> = candidates.iter().collect();
    ranked.sort_by(|a, b| {
        let by_score = score(caller, b).total_cmp(&score(caller, a));
        a.suspected.cmp(&b.suspected).then(by_score).then(a.incarnation.cmp(&b.incarnation))
    });
    // The second address lies in another zone: a reclaim takes a zone at once, and a caller whose
    // first two addresses went with it would lose time on both.
    let elsewhere = ranked.iter().skip(1).position(|other| other.zone != ranked[0].zone);
    if let Some(at) = elsewhere {
        let other = ranked.remove(at + 1);
        ranked.insert(1, other);
    }
    ranked.truncate(count);
    ranked
}

impl Headroom {
    /// Takes the node's load, 1 being all that it can carry; returns its weight.
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

// The score of weighted rendezvous hashing: with it a node gets callers in proportion to its
// capacity, and a change of one node's capacity moves callers to or from that node alone.
fn score(caller: u64, candidate: &Candidate) -> f64 {
    let hash = xxh3_64_with_seed(&candidate.incarnation.0.to_le_bytes(), caller);
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    f64::from(candidate.capacity.max(1)) / -uniform.ln()
}
