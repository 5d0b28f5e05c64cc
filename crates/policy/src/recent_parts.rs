//! The prompt parts that a node recently sent to one engine, for gossip to other nodes.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use bulrushhall_core::Stamp;

use crate::parts::PromptPart;

/// How long a part that is sent again is not advertised again: other nodes already know it, and its
/// last use only affects the order of eviction.
const READVERTISE_AFTER: Duration = Duration::from_secs(2);

/// `RecentParts` are the prompt parts that were recently sent to one engine.
///
/// A node sees only its own callers' share of the prompts of an engine. Without updates from the
/// other nodes, each node would send a shared part to a different engine, which would compute it
/// again.
#[derive(Clone, Debug, Default)]
pub struct RecentParts {
    sent: VecDeque<(Stamp, PromptPart)>,
    ids: HashSet<u64>,
}

impl RecentParts {
    /// Records the parts of a prompt that is sent now.
    pub fn note(&mut self, now: Stamp, parts: &[PromptPart]) {
        self.remove_expired(now);
        for part in parts {
            if self.ids.insert(part.id) {
                self.sent.push_back((now, *part));
            }
        }
    }

    /// Returns the parts to advertise: those first sent within the last `advertised_for`.
    pub fn updates(&mut self, now: Stamp, advertised_for: Duration) -> Vec<PromptPart> {
        self.remove_expired(now);
        let newest = self.sent.iter().rev().take_while(|(at, _)| now.since(*at) < advertised_for);
        newest.map(|(_, part)| *part).collect()
    }

    fn remove_expired(&mut self, now: Stamp) {
        while let Some((at, part)) = self.sent.front()
            && READVERTISE_AFTER <= now.since(*at)
        {
            self.ids.remove(&part.id);
            self.sent.pop_front();
        }
    }
}
