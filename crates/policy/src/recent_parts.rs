//! The parts of prompts that a node sent to one engine lately, for telling other nodes.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use bulrushhall_core::Stamp;

use crate::parts::PromptPart;

/// How long a part that is sent again is not told anew: others know it already, and when it was used last
/// only rules which part yields first.
const TOLD_ANEW_AFTER: Duration = Duration::from_secs(2);

/// `RecentParts` are the parts of prompts that were sent to one engine lately.
///
/// A node alone sees only its callers' share of what an engine reads. Without the others' word, each
/// node sends a shared part to an engine of its own choice, where it is read again.
#[derive(Clone, Debug, Default)]
pub struct RecentParts {
    sent: VecDeque<(Stamp, PromptPart)>,
    ids: HashSet<u64>,
}

impl RecentParts {
    /// Notes the parts of a prompt that is sent now.
    pub fn note(&mut self, now: Stamp, parts: &[PromptPart]) {
        self.forget(now);
        for part in parts {
            if self.ids.insert(part.id) {
                self.sent.push_back((now, *part));
            }
        }
    }

    /// Returns each part that was first sent within the last `told_for`.
    pub fn updates(&mut self, now: Stamp, told_for: Duration) -> Vec<PromptPart> {
        self.forget(now);
        let newest = self.sent.iter().rev().take_while(|(at, _)| now.since(*at) < told_for);
        newest.map(|(_, part)| *part).collect()
    }

    fn forget(&mut self, now: Stamp) {
        while let Some((at, part)) = self.sent.front()
            && TOLD_ANEW_AFTER <= now.since(*at)
        {
            self.ids.remove(&part.id);
            self.sent.pop_front();
        }
    }
}
