//! The clocks of a node.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bulrushhall_core::Stamp;
use rustix::time::{ClockId, clock_gettime};

/// Returns the present time by a clock that also counts the time in which the VM was suspended.
///
/// A lease or the age of a configuration goes on while a VM is suspended. By the usual steady
/// clock the node would wake up and still believe that it holds a lease which lapsed long ago.
pub fn now() -> Stamp {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let micros = u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000;
    Stamp(seconds * 1_000_000 + micros)
}

/// Returns the time since 1970 by the time of day, which may be wrong and may jump.
pub fn wall_clock() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
