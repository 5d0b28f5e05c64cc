//! When a node with an older configuration reads a newer one from another node.

use std::{
    collections::BTreeMap,
    ops::Bound::{Excluded, Unbounded},
    time::Duration,
};

use bulrushhall_core::{Revision, Stamp};

/// A `CatchUp` tracks the newer revisions that other nodes report, and allows one read at a time.
///
/// If a node that is behind requested a large configuration from every node that is ahead, and
/// again after each exchange, the replies would saturate its link and none would arrive in time.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    first_reported: BTreeMap<Revision, Stamp>,
    is_reading: bool,
}

impl CatchUp {
    /// Records that another node has `revision` in force, while this one has `own`.
    pub fn observe(&mut self, now: Stamp, own: Revision, revision: Revision) {
        self.first_reported.retain(|reported, _| own < *reported);
        if own < revision {
            self.first_reported.entry(revision).or_insert(now);
        }
    }

    /// Notes that no revision above this node's own was in force at `at`: those reported before can't be.
    pub fn refute(&mut self, at: Stamp) {
        self.first_reported.retain(|_, reported_at| at < *reported_at);
    }

    /// Returns the newest revision that is known, while this node has `own`.
    pub fn newest(&self, own: Revision) -> Revision {
        self.first_reported.keys().next_back().map_or(own, |newest| own.max(*newest))
    }

    /// Returns since when a revision above `own` has been known.
    pub fn behind_since(&self, own: Revision) -> Option<Stamp> {
        self.first_reported.range((Excluded(own), Unbounded)).map(|(_, at)| *at).min()
    }

    /// Returns whether to read `revision` from another node now; [`CatchUp::end`] has to follow if
    /// so.
    ///
    /// The key-value service gets the time `service_timeout` to deliver the revision first.
    pub fn begin(
        &mut self,
        now: Stamp,
        own: Revision,
        revision: Revision,
        service_timeout: Duration,
    ) -> bool {
        let reported_at = self.first_reported.get(&revision).filter(|_| own < revision);
        let is_due = reported_at.is_some_and(|at| service_timeout <= now.since(*at));
        if !is_due || self.is_reading {
            return false;
        }
        self.is_reading = true;
        true
    }

    /// Records that the read has ended, successfully or not.
    pub fn end(&mut self) {
        self.is_reading = false;
    }
}
