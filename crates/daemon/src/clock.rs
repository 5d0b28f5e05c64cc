//! The clock that provides the time stamps of state machines.

use bulrushhall_core::Stamp;
use tokio::time::Instant;

/// A `Clock` is a monotonic clock that counts from the start of the node.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Returns a clock that starts now.
    pub fn start() -> Clock {
        Clock { started: Instant::now() }
    }

    /// Returns the current stamp.
    pub fn now(&self) -> Stamp {
        Stamp(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns the instant of a stamp.
    pub fn instant(&self, stamp: Stamp) -> Instant {
        self.started + stamp.since(Stamp(0))
    }
}
