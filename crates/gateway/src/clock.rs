//! The clocks of a node.

use std::{
    sync::OnceLock,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bulrushhall_core::Stamp;
use rustix::time::{ClockId, clock_gettime};

static SIMULATED: OnceLock<fn() -> Stamp> = OnceLock::new();

/// Replaces the monotonic clock of this process, for tests under simulated time; later calls change nothing.
pub fn simulate(source: fn() -> Stamp) {
    SIMULATED.get_or_init(|| source);
}

/// Returns the current time of a monotonic clock that also advances while the VM is suspended.
///
/// Leases and configurations age while a VM is suspended. With the usual monotonic clock, a node that
/// wakes up would still assume that it holds a lease which expired long ago.
pub fn now() -> Stamp {
    if let Some(source) = SIMULATED.get() {
        return source();
    }
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let micros = u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000;
    Stamp(seconds * 1_000_000 + micros)
}

/// Returns the wall-clock time since 1970, which may be wrong and may jump.
pub fn wall_clock() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
