//! A log of numbered changes of a set of records, from which other nodes get the updates that they lack.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// `Updates` are the changes of a set of records after a numbered change.
///
/// Relays send them to members, because each node that follows the records in the key-value service itself
/// costs calls for each change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Updates<K, R> {
    /// The number of the last change before the updates; 0 if they hold all records.
    pub after: u64,
    /// The number of the last change in the updates.
    pub at: u64,
    /// The new and the changed records, with their names.
    pub records: Vec<(K, R)>,
    /// The names of the removed records.
    #[serde(rename = "gone")]
    pub removed: Vec<K>,
}

/// A `ChangeLog` numbers changes, and keeps tombstones of the `MAX_TOMBSTONES` records that were removed last.
#[derive(Clone, Debug)]
pub struct ChangeLog<K, const MAX_TOMBSTONES: usize> {
    last: u64,
    tombstones: VecDeque<(u64, K)>,
}

impl<K, const MAX_TOMBSTONES: usize> Default for ChangeLog<K, MAX_TOMBSTONES> {
    fn default() -> Self {
        ChangeLog { last: 0, tombstones: VecDeque::new() }
    }
}

impl<K: Clone, const MAX_TOMBSTONES: usize> ChangeLog<K, MAX_TOMBSTONES> {
    /// Returns the number of a new change.
    pub fn note(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Notes the removal of a record.
    pub fn note_removed(&mut self, name: K) {
        let at = self.note();
        self.tombstones.push_back((at, name));
        if MAX_TOMBSTONES < self.tombstones.len() {
            self.tombstones.pop_front();
        }
    }

    /// Returns the updates after the change `after`, or all records if the log does not reach back that far or
    /// has not numbered such a change.
    ///
    /// `records` returns the records that have changed after a number, and `has_record` whether a name has a
    /// record.
    pub fn updates_since<R>(
        &self,
        after: u64,
        records: impl FnOnce(u64) -> Vec<(K, R)>,
        has_record: impl Fn(&K) -> bool,
    ) -> Updates<K, R> {
        let after = if self.is_unknown(after) { 0 } else { after };
        let removed = self.tombstones.iter().rev().take_while(|(at, _)| 0 < after && after < *at);
        let removed = removed.map(|(_, name)| name).filter(|name| !has_record(name));
        Updates {
            after,
            at: self.last,
            records: records(after),
            removed: removed.cloned().collect(),
        }
    }

    fn is_unknown(&self, after: u64) -> bool {
        let oldest = self.tombstones.front().filter(|_| MAX_TOMBSTONES <= self.tombstones.len());
        self.last < after || oldest.is_some_and(|(oldest, _)| after < *oldest)
    }
}
