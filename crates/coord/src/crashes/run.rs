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
    /// The servers that put such a part in doubt whose requests were seldom the ones that they had begun to answer last.
    pub known_in_doubt: u32,
    /// The crashes of which one is such a request's, at least, if they are not seldom.
    pub beside: u32,
    /// The latest answers of a node from which a part is answered often.
    pub often: u32,
    /// The time in which a sound answer may still follow after so many servers have crashed that no more may be lost.
    pub grace: Duration,
}

impl Default for CrashRun {
    fn default() -> CrashRun {
        CrashRun {
            request: 3,
            known_request: 5,
            new: 4,
            known: 5,
            known_in_doubt: 8,
            beside: 4,
            often: 32,
            grace: Duration::from_millis(1_500),
        }
    }
}

impl Judge for CrashRun {
    fn blames(&self, tally: PartTally) -> Option<Confidence> {
        if self.enough(tally) <= tally.crashes {
            return Some(Confidence::Certain);
        }
        // The loss of many servers at once breaks off answers to sound prompts too, but those are answered elsewhere then.
        let is_over = tally.since_many.is_some_and(|since| self.grace <= since);
        let is_enough = !self.is_beside(tally) || self.known_in_doubt <= tally.ended;
        (is_over && is_enough).then_some(Confidence::Doubtful)
    }
}

impl CrashRun {
    // Returns whether requests with a part that was answered before only ran beside those that the servers had begun to answer last.
    fn is_beside(&self, tally: PartTally) -> bool {
        tally.kind == BlockKind::Parts
            && tally.is_known_sound
            && self.beside * tally.closest < tally.ended
    }

    // Returns the moments of crashes that leave no doubt.
    fn enough(&self, tally: PartTally) -> u32 {
        let PartTally { crashes, is_known_sound, answered, .. } = tally;
        if tally.kind == BlockKind::Request {
            return if is_known_sound || 0 < answered { self.known_request } else { self.request };
        }
        if !is_known_sound {
            return self.new;
        }
        let is_clear =
            tally.is_other_sound && answered < self.often && crashes <= 2 * tally.closest;
        if is_clear { self.known } else { u32::MAX }
    }
}
