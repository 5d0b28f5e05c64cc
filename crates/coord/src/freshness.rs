//! Up to which moment a node knows that what it acts on was the newest.

use std::time::Duration;

use bulrushhall_core::Stamp;

/// A `Freshness` is the latest moment at which a configuration is known to have been the newest.
///
/// A node that lost the key-value service goes on with what it has, and cannot see that a key was
/// taken away meanwhile. A caller would notice nothing; the owner of the key would find it still
/// taken. The age of this moment bounds for how long that can be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    newest_at: Option<Stamp>,
}

impl Freshness {
    /// Notes that the configuration was the newest at `moment`; earlier moments change nothing.
    pub fn note(&mut self, moment: Stamp) {
        self.newest_at = self.newest_at.max(Some(moment));
    }

    /// Returns how long ago that was; none before it was ever known.
    pub fn age(&self, now: Stamp) -> Option<Duration> {
        self.newest_at.map(|newest_at| now.since(newest_at))
    }

    /// Returns whether the age is known and below `limit`.
    pub fn is_within(&self, now: Stamp, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
