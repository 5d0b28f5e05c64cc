//! When a node that is behind reads the configuration from another node.

use std::{
    collections::BTreeMap,
    ops::Bound::{Excluded, Unbounded},
    time::Duration,
};

use bulrushhall_core::{Revision, Stamp};

/// A `CatchUp` knows which newer revisions other nodes told of, and lets one of them be read at a time.
///
/// Where each node that is ahead is asked at once, and again with the next exchange, a large configuration
/// fills the link of a node that is behind, and none of the answers arrives.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    first_heard: BTreeMap<Revision, Stamp>,
    is_reading: bool,
}

impl CatchUp {
    /// Notes that another node has `revision` in force, while this one has `own`.
    pub fn observe(&mut self, now: Stamp, own: Revision, revision: Revision) {
        self.first_heard.retain(|heard, _| own < *heard);
        if own < revision {
            self.first_heard.entry(revision).or_insert(now);
        }
    }

    /// Returns since when a revision above `own` is known of.
    pub fn behind_since(&self, own: Revision) -> Option<Stamp> {
        self.first_heard.range((Excluded(own), Unbounded)).map(|(_, at)| *at).min()
    }

    /// Returns whether `revision` is to be read from another node now; [`CatchUp::end`] has to follow.
    ///
    /// The key-value service has `patience` to bring it.
    pub fn begin(
        &mut self,
        now: Stamp,
        own: Revision,
        revision: Revision,
        patience: Duration,
    ) -> bool {
        let heard = self.first_heard.get(&revision).filter(|_| own < revision);
        let is_due = heard.is_some_and(|at| patience <= now.since(*at));
        if !is_due || self.is_reading {
            return false;
        }
        self.is_reading = true;
        true
    }

    /// Notes that the reading has ended, whichever way.
    pub fn end(&mut self) {
        self.is_reading = false;
    }
}
