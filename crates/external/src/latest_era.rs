//! The latest era of a key-value service, shared by the calls of one client.

use std::sync::atomic::{AtomicU64, Ordering};

use bulrushhall_core::Era;

use crate::{CallError, CallFault};

/// A `LatestEra` is the latest era of a key-value service that responses or other nodes have reported.
#[derive(Debug, Default)]
pub struct LatestEra {
    /// The number after the era; 0 while none is known.
    after: AtomicU64,
}

impl LatestEra {
    /// Returns the latest era; none before one is known.
    pub fn get(&self) -> Option<Era> {
        self.after.load(Ordering::Relaxed).checked_sub(1).map(Era)
    }

    /// Notes an era; an earlier one than the latest changes nothing.
    pub fn note(&self, era: Era) {
        self.after.fetch_max(era.0.saturating_add(1), Ordering::Relaxed);
    }

    /// Accepts or discards a response by its era; `era` is none if the response names none that can be
    /// parsed.
    ///
    /// A discarded call may have taken effect.
    pub fn accept(&self, era: Option<Era>) -> Result<(), CallError> {
        if era < self.get() {
            return Err(CallError::unknown(CallFault::EarlierEra));
        }
        if let Some(era) = era {
            self.note(era);
        }
        Ok(())
    }
}
