//! Whether a call was run, derived from what was written to whom.

use bulrushhall_core::Ran;

/// `Attempts` are all tries of one call; what a caller is told of them is derived here alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    ended: Ran,
    open: bool,
}

impl Attempts {
    /// Notes that a try begins; until it has ended, nobody knows whether the call ran.
    pub fn begin(&mut self) {
        self.open = true;
    }

    /// Notes how a try ended.
    pub fn end(&mut self, ran: Ran) {
        self.open = false;
        self.ended = self.ended.combine(ran);
    }

    /// Returns what holds over all tries.
    pub fn ran(&self) -> Ran {
        match self.open {
            true => self.ended.combine(Ran::Unknown),
            false => self.ended,
        }
    }

    /// Returns whether a call that may run at most once may be tried again.
    pub fn may_retry(&self) -> bool {
        self.ran() == Ran::No
    }
}
