//! The clock that provides the time stamps of state machines.

use std::time::Duration;

use bulrushhall_core::Stamp;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// The shortest suspension that is counted; the two clocks that show it are not read at the same time.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// A `Clock` is a monotonic clock that counts from the start of the node, and also while the VM is suspended.
///
/// A lease expires while a VM is suspended. By a clock that stands still meanwhile, the node would still hold it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    suspended_before: Duration,
}

impl Clock {
    /// Returns a clock that starts now.
    pub fn start() -> Clock {
        Clock { started: Instant::now(), suspended_before: suspended() }
    }

    /// Returns the current stamp.
    pub fn now(&self) -> Stamp {
        let suspended = suspended().saturating_sub(self.suspended_before);
        let suspended = if suspended < MIN_SUSPENSION { Duration::ZERO } else { suspended };
        Stamp(0) + self.started.elapsed() + suspended
    }
}

// Returns the time that the VM was suspended since it was booted.
fn suspended() -> Duration {
    let time = |clock| {
        let time = clock_gettime(clock);
        let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
        Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), nanos)
    };
    time(ClockId::Boottime).saturating_sub(time(ClockId::Monotonic))
}
