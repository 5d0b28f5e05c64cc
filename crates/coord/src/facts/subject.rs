//! The contributions of nodes to one subject.

use std::{cmp::Ordering, sync::Arc, time::Duration};

use bulrushhall_core::Stamp;

use super::{FactKind, FactValue, MergeRule, Merged, source::SourceKey};

/// A `Contribution` is the value of one node, or of several as a relay merged them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Contribution {
    pub(super) value: FactValue,
    /// The version of the value for kinds of which the newest one counts: higher than all versions that the
    /// node knew when it set the value. Ages can't order values, as they lack the times of transfer.
    pub(super) version: u64,
    /// When the value was set, up to the times of transfer.
    pub(super) set_at: Stamp,
    pub(super) nodes: u32,
}

impl Contribution {
    /// Compares which one is newer; all nodes agree on it.
    fn order(&self, other: &Contribution) -> Ordering {
        let (one, two) = (self.value.numbers(), other.value.numbers());
        let by_value = || one.partial_cmp(two).unwrap_or(Ordering::Equal);
        self.version.cmp(&other.version).then_with(by_value)
    }
}

/// A `Subject` is what is known of one subject of a kind.
#[derive(Clone, Debug)]
pub(super) struct Subject {
    pub(super) kind: FactKind,
    pub(super) name: Arc<str>,
    /// The number that stands for it in batches of this node.
    pub(super) id: u32,
    pub(super) own: Option<Contribution>,
    pub(super) received: Vec<(SourceKey, Contribution)>,
}

impl Subject {
    /// Sets the own contribution; returns whether the merged value may have changed.
    pub(super) fn set_own(&mut self, now: Stamp, value: FactValue) -> bool {
        let received = self.received.iter().map(|(_, contribution)| contribution);
        let newest = received.chain(&self.own).max_by(|one, other| one.order(other)).copied();
        let is_own_newest = newest == self.own;
        let known = newest.map_or(0, |newest| newest.version);
        let contribution = Contribution { value, version: known + 1, set_at: now, nodes: 1 };
        let is_same = self.own.is_some_and(|own| own.value == value);
        if is_same && (is_own_newest || self.kind.rule != MergeRule::Newest) {
            return false;
        }
        self.own = Some(contribution);
        true
    }

    /// Returns whether a node contributes to it.
    pub(super) fn is_live(&self) -> bool {
        self.own.is_some() || !self.received.is_empty()
    }

    /// Returns whether a contribution has changed to the new one.
    pub(super) fn replace(
        &mut self,
        source: SourceKey,
        contribution: Option<Contribution>,
    ) -> bool {
        let at = self.received.iter().position(|(key, _)| *key == source);
        match (at, contribution) {
            (Some(at), Some(contribution)) if self.received[at].1 == contribution => false,
            (Some(at), Some(contribution)) => {
                self.received[at].1 = contribution;
                true
            }
            (Some(at), None) => {
                self.received.swap_remove(at);
                true
            }
            (None, Some(contribution)) => {
                self.received.push((source, contribution));
                true
            }
            (None, None) => false,
        }
    }
}

/// An `Accumulator` merges contributions to one subject.
#[derive(Clone, Copy, Debug)]
pub(super) struct Accumulator {
    rule: MergeRule,
    merged: Option<Contribution>,
    age: Duration,
}

impl Accumulator {
    pub(super) fn new(rule: MergeRule) -> Accumulator {
        Accumulator { rule, merged: None, age: Duration::ZERO }
    }

    pub(super) fn add(&mut self, contribution: &Contribution, age: Duration) {
        self.age = age.max(self.age);
        let Some(merged) = &mut self.merged else {
            self.merged = Some(*contribution);
            return;
        };
        let nodes = merged.nodes.saturating_add(contribution.nodes);
        match self.rule {
            MergeRule::Sum => {
                merged.value = merged.value.combine(contribution.value, |one, other| one + other);
            }
            MergeRule::Maximum => {
                merged.value = merged.value.combine(contribution.value, f64::max);
            }
            MergeRule::Newest if merged.order(contribution) == Ordering::Less => {
                *merged = *contribution;
            }
            MergeRule::Newest => {}
        }
        merged.nodes = nodes;
    }

    pub(super) fn merged(&self) -> Option<Merged> {
        let Contribution { value, nodes, .. } = self.merged?;
        Some(Merged { value, age: self.age, nodes })
    }

    pub(super) fn contribution(&self) -> Option<Contribution> {
        self.merged
    }
}
