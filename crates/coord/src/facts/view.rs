//! The order of changes in what is sent for one scope.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::Stamp;
use slotmap::{SecondaryMap, new_key_type};

use super::{
    FactPriority,
    positions::{PRIORITIES, Positions},
    receivers::Receivers,
};

/// How long the withdrawal of a fact is kept for receivers that were away: longer than
/// [`RECEIVER_TIMEOUT`](super::receivers), and than a receiver keeps facts of a sender that it can't hear.
const MIN_WITHDRAWN_FOR: Duration = Duration::from_secs(10);

new_key_type! {
    /// A `SubjectKey` identifies a subject.
    pub(super) struct SubjectKey;
}

/// The last change of a subject within a view.
#[derive(Clone, Copy, Debug)]
struct Change {
    sequence: u64,
    priority: FactPriority,
    /// All receivers whose position is at least this one know the subject's name.
    named_at: u64,
    withdrawn_at: Option<Stamp>,
}

/// A `View` is the order in which subjects have changed in one scope, and who has received which changes.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    changes: SecondaryMap<SubjectKey, Change>,
    order: [BTreeMap<u64, SubjectKey>; PRIORITIES],
    withdrawn: BTreeMap<u64, SubjectKey>,
    pub(super) receivers: Receivers,
}

impl View {
    /// Notes that a subject has changed.
    pub(super) fn mark(&mut self, key: SubjectKey, priority: FactPriority, sequence: u64) {
        let mut named_at = sequence;
        if let Some(change) = self.changes.get(key) {
            self.order[priority as usize].remove(&change.sequence);
            self.withdrawn.remove(&change.sequence);
            // A receiver whose position is lower may reach the position without having got the name.
            let lowest = self.receivers.lowest().unwrap_or_default().get(priority);
            if change.withdrawn_at.is_none() && change.named_at <= lowest {
                named_at = change.named_at;
            }
        }
        let change = Change { sequence, priority, named_at, withdrawn_at: None };
        self.changes.insert(key, change);
        self.order[priority as usize].insert(sequence, key);
    }

    /// Notes that a subject has no contribution in this view any more.
    pub(super) fn withdraw(&mut self, now: Stamp, key: SubjectKey) {
        let Some(change) = self.changes.get_mut(key) else { return };
        change.withdrawn_at.get_or_insert(now);
        self.withdrawn.insert(change.sequence, key);
    }

    /// Returns the changes of a priority after a position, the earliest first: the subject, the sequence
    /// number, and whether its name is to be sent.
    pub(super) fn changes(
        &self,
        priority: FactPriority,
        after: u64,
    ) -> impl Iterator<Item = (SubjectKey, u64, bool)> {
        let changed = self.order[priority as usize].range(after.saturating_add(1)..);
        changed.map(move |(sequence, key)| {
            let is_unnamed = self.changes.get(*key).is_some_and(|change| after < change.named_at);
            (*key, *sequence, is_unnamed)
        })
    }

    /// Drops the withdrawals that all receivers have, and returns their subjects.
    pub(super) fn expire(&mut self, now: Stamp, max_age: Duration) -> Vec<SubjectKey> {
        self.receivers.expire(now);
        let lowest = self.receivers.lowest().unwrap_or(Positions::all(u64::MAX));
        let kept_for = MIN_WITHDRAWN_FOR.max(max_age * 2);
        let mut dropped = Vec::new();
        self.withdrawn.retain(|sequence, key| {
            let Some(change) = self.changes.get(*key) else { return false };
            let is_old = change.withdrawn_at.is_some_and(|at| kept_for <= now.since(at));
            if !is_old || lowest.get(change.priority) < *sequence {
                return true;
            }
            dropped.push((*key, *change));
            false
        });
        for (key, change) in &dropped {
            self.changes.remove(*key);
            self.order[change.priority as usize].remove(&change.sequence);
        }
        dropped.into_iter().map(|(key, _)| key).collect()
    }

    /// Returns whether the view has a subject, also a withdrawn one.
    pub(super) fn contains(&self, key: SubjectKey) -> bool {
        self.changes.contains_key(key)
    }
}
