//! Times for which a node stood still.

use std::time::Duration;

use bulrushhall_core::Stamp;

/// The longest time between two things that a running node does: two rounds of gossip.
const MAX_IDLE: Duration = Duration::from_millis(500);

/// A `Pause` is a time for which a node stood still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// When it last did something before.
    pub began: Stamp,
    /// When it first did something after it.
    pub ended: Stamp,
}

/// `Pauses` show when a node stood still, by the times at which it did something.
///
/// What others sent meanwhile arrives at once after it, and is older than it seems.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pauses {
    active_at: Option<Stamp>,
    last: Option<Pause>,
}

impl Pauses {
    /// Notes that the node does something; returns whether it stood still before.
    pub fn note_active(&mut self, now: Stamp) -> bool {
        let Some(began) = self.active_at.replace(now) else { return false };
        let stood_still = MAX_IDLE < now.since(began);
        if stood_still {
            self.last = Some(Pause { began, ended: now });
        }
        stood_still
    }

    /// Returns the last pause, if it ended within a time.
    pub fn recent(&self, now: Stamp, within: Duration) -> Option<Pause> {
        self.last.filter(|pause| now.since(pause.ended) < within)
    }
}
