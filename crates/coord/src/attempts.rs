//! Whether a call was run, derived from the outcomes of its attempts.

use bulrushhall_core::Ran;

/// `Attempts` are all attempts of one call; the outcome that its caller receives is derived from
/// them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// The outcome over all attempts that have ended.
    ended: Ran,
    is_open: bool,
}

impl Attempts {
    /// Records that an attempt begins; until it has ended, it is unknown whether the call ran.
    pub fn begin(&mut self) {
        self.is_open = true;
    }

    /// Records how an attempt ended.
    pub fn end(&mut self, ran: Ran) {
        self.is_open = false;
        self.ended = self.ended.combine(ran);
    }

    /// Returns whether the call ran, over all attempts.
    pub fn ran(&self) -> Ran {
        match self.is_open {
            true => self.ended.combine(Ran::Unknown),
            false => self.ended,
        }
    }

    /// Returns whether a call that may run at most once may be retried.
    pub fn may_retry(&self) -> bool {
        self.ran() == Ran::No
    }
}
