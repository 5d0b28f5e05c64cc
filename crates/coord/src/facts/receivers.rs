//! The nodes that receive the batches of one scope.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Incarnation, Stamp};

use super::positions::Positions;

/// How long a receiver that is no longer heard from determines what is sent: its return is noticed, as its
/// acknowledgement states which changes it lacks.
const RECEIVER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a node that got a batch of its own is left out of the batches for all: five exchanges.
const ADDRESSED_FOR: Duration = Duration::from_millis(1_000);

#[derive(Clone, Copy, Debug, Default)]
struct Receiver {
    /// The changes that it has acknowledged; none before its first acknowledgement.
    positions: Option<Positions>,
    heard_at: Stamp,
    addressed_at: Option<Stamp>,
}

/// `Receivers` are the nodes that receive the batches of one scope.
#[derive(Clone, Debug, Default)]
pub(super) struct Receivers {
    nodes: BTreeMap<Incarnation, Receiver>,
}

impl Receivers {
    /// Notes that a node has acknowledged changes.
    pub(super) fn acknowledge(&mut self, now: Stamp, node: Incarnation, positions: Positions) {
        let receiver = self.nodes.entry(node).or_default();
        receiver.positions = Some(positions);
        receiver.heard_at = now;
    }

    /// Notes that a node was heard from.
    pub(super) fn hear(&mut self, now: Stamp, node: Incarnation) {
        if let Some(receiver) = self.nodes.get_mut(&node) {
            receiver.heard_at = now;
        }
    }

    /// Notes that a node gets a batch of its own.
    pub(super) fn address(&mut self, now: Stamp, node: Incarnation) {
        let receiver = self.nodes.entry(node).or_default();
        receiver.addressed_at = Some(now);
        receiver.heard_at = now;
    }

    pub(super) fn is_addressed(&self, now: Stamp, node: Incarnation) -> bool {
        let at = self.nodes.get(&node).and_then(|receiver| receiver.addressed_at);
        at.is_some_and(|at| now.since(at) < ADDRESSED_FOR)
    }

    /// Returns the positions of a node.
    pub(super) fn of(&self, node: Incarnation) -> Positions {
        self.nodes.get(&node).and_then(|receiver| receiver.positions).unwrap_or_default()
    }

    /// Returns the lowest positions of the nodes that get the batches for all.
    pub(super) fn floor(&self, now: Stamp) -> Positions {
        let shared = self.nodes.iter().filter(|(node, _)| !self.is_addressed(now, **node));
        let positions = shared.filter_map(|(_, receiver)| receiver.positions);
        positions.reduce(Positions::min).unwrap_or_default()
    }

    /// Returns the lowest positions of all nodes.
    pub(super) fn lowest(&self) -> Option<Positions> {
        self.nodes.values().filter_map(|receiver| receiver.positions).reduce(Positions::min)
    }

    pub(super) fn expire(&mut self, now: Stamp) {
        self.nodes.retain(|_, receiver| now.since(receiver.heard_at) < RECEIVER_TIMEOUT);
    }

    pub(super) fn forget(&mut self, node: Incarnation) {
        self.nodes.remove(&node);
    }
}
