//! How long ago the configuration of a node was known to be the newest.

use std::time::Duration;

use bulrushhall_core::Stamp;

/// A `Freshness` is the latest time at which the configuration is known to have been the newest.
///
/// A node that has lost the key-value service continues with the configuration that it has and does
/// not see that an API key has been revoked since: the key would still be accepted. The age of this
/// time bounds how long that can last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    newest_at: Option<Stamp>,
}

impl Freshness {
    /// Records that the configuration was the newest at `moment`; earlier times change nothing.
    pub fn note(&mut self, moment: Stamp) {
        self.newest_at = self.newest_at.max(Some(moment));
    }

    /// Returns how long ago the configuration was known to be the newest; none if it never was.
    pub fn age(&self, now: Stamp) -> Option<Duration> {
        self.newest_at.map(|newest_at| now.since(newest_at))
    }

    /// Returns whether the age is known and below `limit`.
    pub fn is_within(&self, now: Stamp, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
