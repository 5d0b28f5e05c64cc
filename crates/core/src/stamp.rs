//! Points in time for the state machines.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A `Stamp` is a point in time, in microseconds since an arbitrary origin in one process.
///
/// State machines receive it from their caller, so that a run can be replayed. Stamps of
/// different processes can't be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp(pub u64);

impl Stamp {
    /// Returns the stamp `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Stamp {
        Stamp(millis * 1_000)
    }

    /// Returns the time from `earlier` to this stamp, or zero if `earlier` is later.
    pub fn since(self, earlier: Stamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Stamp {
    type Output = Stamp;

    fn add(self, duration: Duration) -> Stamp {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Stamp(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Stamp {
    type Output = Stamp;

    fn sub(self, duration: Duration) -> Stamp {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Stamp(self.0.saturating_sub(micros))
    }
}
