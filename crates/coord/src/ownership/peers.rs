//! The other nodes, and in which order they are asked to hold a copy.

use bulrushhall_core::{Incarnation, RequestId, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A `Peer` is another node as ownership sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// `Peers` are the other nodes that are believed to be alive.
#[derive(Debug)]
pub(super) struct Peers {
    pub(super) zone: ZoneName,
    pub(super) present: Vec<Peer>,
}

impl Peers {
    pub(super) fn contains(&self, incarnation: Incarnation) -> bool {
        self.present.iter().any(|peer| peer.incarnation == incarnation)
    }

    pub(super) fn is_leaving(&self, incarnation: Incarnation) -> bool {
        self.present.iter().any(|peer| peer.incarnation == incarnation && peer.leaving)
    }

    /// Returns the best peer for a copy: another zone first, spread by a hash of the request.
    pub(super) fn holder_for(&self, id: RequestId, not: &[Incarnation]) -> Option<Incarnation> {
        let able = |peer: &&Peer| !peer.leaving && !not.contains(&peer.incarnation);
        let best = self.present.iter().filter(able).min_by_key(|peer| self.rank(id, peer));
        best.map(|peer| peer.incarnation)
    }

    /// Returns the peers that may have been chosen for a copy before, likeliest first.
    pub(super) fn likely_holders(&self, id: RequestId, count: usize) -> Vec<Incarnation> {
        let mut ranked: Vec<_> = self.present.iter().collect();
        ranked.sort_by_key(|peer| self.rank(id, peer));
        ranked.into_iter().take(count).map(|peer| peer.incarnation).collect()
    }

    fn rank(&self, id: RequestId, peer: &Peer) -> (bool, u64) {
        let hash = xxh3_64_with_seed(&id.sequence.to_le_bytes(), id.origin.0);
        let hash = xxh3_64_with_seed(&peer.incarnation.0.to_le_bytes(), hash);
        (peer.zone == self.zone, hash)
    }
}
