//! Evidence that other nodes' watches of the key-value service are alive.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Era, NodeName, Stamp};

/// `WatchEvidenceOptions` state when the watches of other nodes make a node's own one unnecessary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchEvidenceOptions {
    /// The number of other nodes with fresh proofs that are required.
    pub required: usize,
    /// The age up to which a proof is fresh.
    pub max_age: Duration,
    /// The time since a node's last reply up to which its proof counts: two exchanges may be lost.
    pub max_silence: Duration,
}

impl Default for WatchEvidenceOptions {
    fn default() -> Self {
        WatchEvidenceOptions {
            required: 2,
            max_age: Duration::from_millis(1_800),
            max_silence: Duration::from_millis(700),
        }
    }
}

/// A `WatchProof` states that a node's own watch has returned every change up to a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchProof {
    /// The moment.
    pub known_at: Stamp,
    /// A version up to which a reader has to read to have the last change.
    pub last_change: u64,
    /// The era of the version.
    pub era: Option<Era>,
}

/// A `WatchNeed` is what a node has to call the key-value service for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchNeed {
    /// Its own watch: not enough other nodes prove that theirs are alive.
    Watch,
    /// The changes that another node has seen.
    Read,
    /// Nothing: its own state was complete at this moment.
    Nothing {
        /// The moment.
        known_at: Stamp,
    },
}

/// A `WatchEvidence` holds the last proofs of other nodes.
///
/// A node relies on nodes with higher names only. So the two with the highest names always watch, the others
/// need not agree on them, and no node relies on one that relies on others. A change is never taken from
/// a proof: a node that lacks one reads it from the service itself.
#[derive(Clone, Debug, Default)]
pub struct WatchEvidence {
    proofs: BTreeMap<NodeName, (WatchProof, Stamp)>,
}

impl WatchEvidence {
    /// Notes the proof in a node's reply; none if it doesn't watch or its last call failed.
    pub fn receive(&mut self, now: Stamp, node: &NodeName, proof: Option<WatchProof>) {
        match proof {
            Some(proof) => {
                self.proofs.insert(node.clone(), (proof, now));
            }
            None => {
                self.proofs.remove(node);
            }
        }
    }

    /// Removes the proofs of nodes that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&NodeName) -> bool) {
        self.proofs.retain(|node, _| is_known(node));
    }

    /// Returns what the node `own`, whose state is complete up to `version` of `era`, needs.
    pub fn need(
        &self,
        now: Stamp,
        options: &WatchEvidenceOptions,
        own: &NodeName,
        (era, version): (Option<Era>, u64),
    ) -> WatchNeed {
        let mut fresh = 0;
        let mut is_behind = false;
        let mut known_at = Stamp::default();
        for (node, (proof, received_at)) in &self.proofs {
            let is_fresh = now.since(proof.known_at) < options.max_age
                && now.since(*received_at) < options.max_silence;
            if node <= own || !is_fresh || proof.era != era {
                continue;
            }
            fresh += 1;
            is_behind |= version < proof.last_change;
            known_at = known_at.max(proof.known_at);
        }
        match (options.required <= fresh, is_behind) {
            (false, _) => WatchNeed::Watch,
            (true, true) => WatchNeed::Read,
            (true, false) => WatchNeed::Nothing { known_at },
        }
    }
}
