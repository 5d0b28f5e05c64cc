//! The other nodes, ranked as holders of copies.

use bulrushhall_core::{Incarnation, RequestId, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A `Peer` is another node as ownership sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it accepts no new work.
    pub leaving: bool,
}

/// `Peers` are the other nodes that are considered alive.
#[derive(Debug)]
pub(super) struct Peers {
    pub(super) own_zone: ZoneName,
    pub(super) live: Vec<Peer>,
}

impl Peers {
    pub(super) fn contains(&self, incarnation: Incarnation) -> bool {
        self.live.iter().any(|peer| peer.incarnation == incarnation)
    }

    pub(super) fn is_leaving(&self, incarnation: Incarnation) -> bool {
        self.live.iter().any(|peer| peer.incarnation == incarnation && peer.leaving)
    }

    /// Returns the peer that ranks first as holder, `excluded` and leaving ones left out.
    ///
    /// Peers in other zones rank before those in the own zone; a hash of the request and the peer
    /// spreads copies over them.
    pub(super) fn best_holder(
        &self,
        id: RequestId,
        excluded: &[Incarnation],
    ) -> Option<Incarnation> {
        let is_eligible = |peer: &&Peer| !peer.leaving && !excluded.contains(&peer.incarnation);
        let best = self.live.iter().filter(is_eligible).min_by_key(|peer| self.rank(id, peer));
        best.map(|peer| peer.incarnation)
    }

    /// Returns the peers that may have been chosen as holder before, the likeliest first.
    pub(super) fn likely_holders(&self, id: RequestId, count: usize) -> Vec<Incarnation> {
        let mut ranked: Vec<_> = self.live.iter().collect();
        ranked.sort_by_key(|peer| self.rank(id, peer));
        ranked.into_iter().take(count).map(|peer| peer.incarnation).collect()
    }

    fn rank(&self, id: RequestId, peer: &Peer) -> (bool, u64) {
        let hash = xxh3_64_with_seed(&id.sequence.to_le_bytes(), id.origin.0);
        let hash = xxh3_64_with_seed(&peer.incarnation.0.to_le_bytes(), hash);
        (peer.zone == self.own_zone, hash)
    }
}
