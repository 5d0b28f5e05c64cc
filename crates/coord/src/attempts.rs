//! Whether a call was run, derived from the outcomes of its attempts.

use bulrushhall_core::Ran;

/// `Attempts` are all attempts of one call; the outcome that its caller receives is derived from
/// them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// The outcome over all attempts that have ended.
    ended: Ran,
    /// The number of attempts that have not ended.
    open: u32,
}

impl Attempts {
    /// Records that an attempt begins; until it has ended, it is unknown whether the call ran.
    pub fn begin(&mut self) {
        self.open += 1;
    }

    /// Records how an attempt ended.
    pub fn end(&mut self, ran: Ran) {
        self.open = self.open.saturating_sub(1);
        self.ended = self.ended.combine(ran);
    }

    /// Returns whether the call ran, over all attempts.
    pub fn ran(&self) -> Ran {
        match self.open {
            0 => self.ended,
            _ => self.ended.combine(Ran::Unknown),
        }
    }

    /// Returns whether a call that may run at most once may be retried.
    pub fn may_retry(&self) -> bool {
        self.ran() == Ran::No
    }
}
