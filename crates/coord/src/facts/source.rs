//! What is received from one other node.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bulrushhall_core::{Incarnation, Stamp, ZoneName};
use slotmap::new_key_type;

use super::{FactKindId, FactPriority, FactScope, positions::Positions, wire::ScopeTag};

/// How long an acknowledgement is repeated after the last change: three exchanges.
const ACKNOWLEDGED_FOR: Duration = Duration::from_millis(700);

new_key_type! {
    /// A `SourceKey` identifies a source.
    pub(super) struct SourceKey;
}

/// A `Slot` is a set of nodes for which one source counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Slot {
    Node(Incarnation),
    Zone(ZoneName),
    Others,
}

impl Slot {
    pub(super) fn new(sender: Incarnation, scope: &FactScope) -> Slot {
        match scope {
            FactScope::Own => Slot::Node(sender),
            FactScope::Zone(zone) => Slot::Zone(zone.clone()),
            FactScope::Others(_) => Slot::Others,
        }
    }
}

/// A `SourceName` is what an id in the batches of a sender stands for.
#[derive(Clone, Debug)]
pub(super) struct SourceName {
    pub(super) kind: FactKindId,
    pub(super) subject: Arc<str>,
    /// The priority with which the sender sends it.
    pub(super) priority: FactPriority,
}

/// A `Source` is the stream of facts of a sender about the nodes of a slot.
#[derive(Clone, Debug)]
pub(super) struct Source {
    pub(super) sender: Incarnation,
    pub(super) slot: Slot,
    pub(super) tag: ScopeTag,
    /// Whether its facts count; another source of the same slot may count until this one is complete.
    pub(super) counts: bool,
    /// The positions up to which all changes were applied.
    pub(super) positions: Positions,
    /// When its last batch was received.
    pub(super) heard_at: Stamp,
    /// The age of its facts at that time.
    pub(super) age: Duration,
    /// What the ids of its batches stand for.
    pub(super) names: BTreeMap<u32, SourceName>,
    acknowledged_until: Stamp,
}

impl Source {
    pub(super) fn new(now: Stamp, sender: Incarnation, scope: &FactScope) -> Source {
        Source {
            sender,
            slot: Slot::new(sender, scope),
            tag: scope.into(),
            counts: false,
            positions: Positions::default(),
            heard_at: now,
            age: Duration::ZERO,
            names: BTreeMap::new(),
            acknowledged_until: now + ACKNOWLEDGED_FOR,
        }
    }

    /// Returns the time since the oldest of its facts was known to be current.
    pub(super) fn age(&self, now: Stamp) -> Duration {
        now.since(self.heard_at).saturating_add(self.age)
    }

    /// Returns whether its facts belong into the batches of a scope that aggregates nodes.
    pub(super) fn is_within(&self, scope: &FactScope) -> bool {
        match (&self.slot, scope) {
            (Slot::Node(node), FactScope::Others(receiver)) => node != receiver,
            (Slot::Zone(_), FactScope::Others(_)) | (Slot::Node(_), FactScope::Zone(_)) => true,
            _ => false,
        }
    }

    /// Requests all facts of the sender again.
    pub(super) fn restart(&mut self) {
        self.positions = Positions::default();
    }

    /// Notes that the sender has to learn the positions of this node.
    pub(super) fn acknowledge(&mut self, now: Stamp) {
        self.acknowledged_until = now + ACKNOWLEDGED_FOR;
    }

    pub(super) fn is_acknowledged(&self, now: Stamp) -> bool {
        now < self.acknowledged_until
    }
}
