//! Judgement by crashes without a sound answer between them.

use std::time::Duration;

use super::{BlockKind, Confidence, Judge, PartTally};

/// A `CrashRun` blames a part after a fixed number of crashes since its last sound answer, however many other answers break
/// off meanwhile: more evidence would be more crashed servers. Once so many have crashed that it has to be known, it is blamed
/// whatever is in doubt, and the next request shows whether it is the cause.
#[derive(Clone, Copy, Debug)]
pub struct CrashRun {
    /// The crashes that blame a request, and the servers that do so if they all crashed in one moment.
    pub request: u32,
    /// The same for a request that was answered before.
    pub known_request: u32,
    /// The moments of crashes that blame a part of which no sound answer is known.
    pub new: u32,
    /// The moments that blame a part which was answered before.
    pub known: u32,
    /// The servers that must crash under a part with earlier sound answers until it is doubted, if its requests were seldom the
    /// ones that these servers had begun to answer last.
    pub known_seldom_closest: u32,
    /// Of so many crashes one server, at least, had begun to answer a request with the part last, or these requests are seldom the ones.
    pub closest_one_in: u32,
    /// The same for a request by itself, which many callers may send.
    pub request_closest_one_in: u32,
    /// The latest answers of a node from which a part is answered often.
    pub often: u32,
    /// The time in which a sound answer may still follow after so many servers have crashed that no more may be lost.
    pub grace: Duration,
    /// The same for what was answered before, if all of them crashed in one moment: no further request shows that it is the cause, and
    /// a long answer shows only after some time that it is not.
    pub single_moment_grace: Duration,
}

impl Default for CrashRun {
    fn default() -> CrashRun {
        CrashRun {
            request: 3,
            known_request: 5,
            new: 4,
            known: 5,
            known_seldom_closest: 8,
            closest_one_in: 4,
            request_closest_one_in: 2,
            often: 32,
            grace: Duration::from_millis(1_500),
            single_moment_grace: Duration::from_millis(2_600),
        }
    }
}

impl Judge for CrashRun {
    fn blames(&self, tally: PartTally) -> Option<Confidence> {
        if tally.is_new() {
            let enough = if tally.kind == BlockKind::Parts { self.new } else { self.request };
            if enough <= tally.crashes {
                return Some(Confidence::Certain);
            }
        } else if self.is_clear(tally) {
            return Some(Confidence::Doubtful);
        }
        // The loss of many servers at once breaks off answers to sound prompts too, but those are answered elsewhere then.
        let is_single_moment = tally.is_known_sound && tally.crashes == 1;
        let grace = if is_single_moment { self.single_moment_grace } else { self.grace };
        let is_over = tally.since_many.is_some_and(|since| grace <= since);
        (is_over && self.is_enough_to_doubt(tally)).then_some(Confidence::Doubtful)
    }
}

impl CrashRun {
    // Returns whether the crashes under what was answered before need no time in which a sound answer may still follow.
    fn is_clear(&self, tally: PartTally) -> bool {
        let PartTally { crashes, closest, answered, is_other_sound, .. } = tally;
        let is_closest = crashes <= 2 * closest;
        match tally.kind {
            BlockKind::Parts => {
                self.known <= crashes && is_closest && is_other_sound && answered < self.often
            }
            BlockKind::Request => self.known_request <= crashes && is_closest,
        }
    }

    // Returns whether so many servers have crashed that no more may be lost.
    fn is_enough_to_doubt(&self, tally: PartTally) -> bool {
        if !tally.is_known_sound {
            return true;
        }
        // Of requests that are seldom the ones that the servers had begun to answer last, others are more likely to be the cause.
        let (enough, closest, one_in) = match tally.kind {
            BlockKind::Parts => (self.known, tally.closest_or_unbegun, self.closest_one_in),
            BlockKind::Request => (self.known_request, tally.closest, self.request_closest_one_in),
        };
        let is_beside = one_in * closest < tally.all_servers;
        let enough = if is_beside { self.known_seldom_closest } else { enough };
        enough <= tally.all_servers
    }
}
