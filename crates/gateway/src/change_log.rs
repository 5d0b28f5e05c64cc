//! A log of numbered changes of a set of records, from which other nodes get the updates that they lack.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// `News` are the changes of a set of records after a numbered change.
///
/// Relays send them to members, because each node that follows the records in the key-value service itself
/// costs calls for each change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct News<K, R> {
    /// The number of the last change before the updates; 0 if they hold all records.
    pub after: u64,
    /// The number of the last change in the updates.
    pub at: u64,
    /// The new and the changed records, with their names.
    pub records: Vec<(K, R)>,
    /// The names of the removed records.
    pub gone: Vec<K>,
}

/// A `ChangeLog` numbers changes, and keeps tombstones of the `KEPT` records that were removed last.
#[derive(Clone, Debug)]
pub struct ChangeLog<K, const KEPT: usize> {
    last: u64,
    gone: VecDeque<(u64, K)>,
}

impl<K, const KEPT: usize> Default for ChangeLog<K, KEPT> {
    fn default() -> Self {
        ChangeLog { last: 0, gone: VecDeque::new() }
    }
}

impl<K: Clone, const KEPT: usize> ChangeLog<K, KEPT> {
    /// Returns the number of a new change.
    pub fn note(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Notes the removal of a record.
    pub fn note_gone(&mut self, name: K) {
        let at = self.note();
        self.gone.push_back((at, name));
        if KEPT < self.gone.len() {
            self.gone.pop_front();
        }
    }

    /// Returns the updates after the change `after`, or all records if the log does not reach back that far.
    ///
    /// `records` returns the records that have changed after a number, and `is_there` whether a name has a
    /// record.
    pub fn news<R>(
        &self,
        after: u64,
        records: impl FnOnce(u64) -> Vec<(K, R)>,
        is_there: impl Fn(&K) -> bool,
    ) -> News<K, R> {
        let after = if self.is_forgotten(after) { 0 } else { after };
        let gone = self.gone.iter().rev().take_while(|(at, _)| 0 < after && after < *at);
        let gone = gone.map(|(_, name)| name).filter(|name| !is_there(name));
        News { after, at: self.last, records: records(after), gone: gone.cloned().collect() }
    }

    fn is_forgotten(&self, after: u64) -> bool {
        let oldest = self.gone.front().filter(|_| KEPT <= self.gone.len());
        self.last < after || oldest.is_some_and(|(oldest, _)| after < *oldest)
    }
}
