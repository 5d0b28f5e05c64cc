//! The beginning and the end of a shortage of engines.

use std::time::Duration;

use bulrushhall_core::Stamp;

/// The time without queued requests after which a shortage has ended, so that it is not announced again with every burst.
const END_AFTER: Duration = Duration::from_secs(2);

/// A `Shortage` is the time in which requests are queued for a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    since: Option<Stamp>,
    last_queued: Stamp,
}

/// A `ShortageChange` is the beginning or the end of a shortage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShortageChange {
    /// The first request is queued.
    Begun,
    /// No request was queued for a while; the shortage lasted this long.
    Ended(Duration),
}

impl Shortage {
    /// Returns how long the shortage has lasted, if there is one.
    pub fn lasts(&self, now: Stamp) -> Option<Duration> {
        self.since.map(|since| now.since(since))
    }

    /// Notes that requests are queued.
    pub fn note_queued(&mut self, now: Stamp) -> Option<ShortageChange> {
        self.last_queued = now;
        if self.since.is_some() {
            return None;
        }
        self.since = Some(now);
        Some(ShortageChange::Begun)
    }

    /// Notes that no request is queued.
    pub fn note_empty(&mut self, now: Stamp) -> Option<ShortageChange> {
        let since = self.since?;
        if now.since(self.last_queued) < END_AFTER {
            return None;
        }
        self.since = None;
        Some(ShortageChange::Ended(self.last_queued.since(since)))
    }
}
