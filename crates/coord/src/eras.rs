//! Restores of the key-value service from an older copy, as one node learns of them.

use std::time::Duration;

use bulrushhall_core::{Era, Stamp};

/// The most eras by which another node's era may be ahead: services are restored rarely, and a larger
/// number is an error that would make every later response look outdated.
const MAX_LEAD: u64 = 64;

/// An `Eras` tracks the era of the key-value service and when it last changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Eras {
    current: Option<Era>,
    restored_at: Option<Stamp>,
}

impl Eras {
    /// Returns the current era; none before one is known.
    pub fn current(&self) -> Option<Era> {
        self.current
    }

    /// Returns when the service was last restored, as far as this node or another one saw it.
    pub fn restored_at(&self) -> Option<Stamp> {
        self.restored_at
    }

    /// Notes the era of a response of the service; returns whether it is a new one after another.
    pub fn observe(&mut self, now: Stamp, era: Era) -> bool {
        let before = self.current;
        if Some(era) <= before {
            return false;
        }
        self.current = Some(era);
        let restored = before.is_some();
        if restored {
            self.restored_at = Some(now);
        }
        restored
    }

    /// Returns whether an era that another node reports may be believed.
    pub fn is_plausible(&self, era: Era) -> bool {
        self.current.is_some_and(|current| era.0 <= current.0.saturating_add(MAX_LEAD))
    }

    /// Notes how long ago another node saw the service restored to the current era.
    pub fn receive(&mut self, now: Stamp, era: Era, age: Duration) {
        if self.current != Some(era) {
            return;
        }
        // The node that saw it first knows best.
        let at = now - age;
        self.restored_at = Some(self.restored_at.map_or(at, |known| known.min(at)));
    }
}
