//! Numbered changes of a set of records, so that others can be told what they missed.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// `News` are the changes between two moments of one node's knowledge.
///
/// Each node that follows the records in the key-value service itself costs calls there for each change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct News<K, R> {
    /// The number of the last change before these; 0 where all records are told.
    pub after: u64,
    /// The number of the last of them.
    pub at: u64,
    /// The records that are new or have changed, by their names.
    pub records: Vec<(K, R)>,
    /// The names whose records are not there any more.
    pub gone: Vec<K>,
}

/// A `ChangeLog` numbers changes, and keeps the names of the `KEPT` records that went last.
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
    /// Numbers a change.
    pub fn note(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Notes that a record went.
    pub fn note_gone(&mut self, name: K) {
        let at = self.note();
        self.gone.push_back((at, name));
        if KEPT < self.gone.len() {
            self.gone.pop_front();
        }
    }

    /// Returns the changes after that with the number `after`, or all records where these are not known
    /// any more.
    ///
    /// `records` returns the records that have changed after a number, and `is_there` whether a name has one.
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
