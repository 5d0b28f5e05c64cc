//! Kinds of facts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A `FactKindId` identifies a kind of fact; the ids of removed kinds are not reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FactKindId(pub u16);

/// A `MergeRule` determines how the contributions of several nodes to one subject are merged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MergeRule {
    /// The value that was set last. All nodes agree on one of several that are set at about the same time.
    #[default]
    Newest,
    /// The sum, number by number.
    Sum,
    /// The greatest, number by number.
    Maximum,
}

/// A `FactPriority` orders the kinds within a batch whose budget does not suffice for all changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum FactPriority {
    /// Sent first.
    High,
    /// Sent after the high ones.
    #[default]
    Normal,
    /// Sent last.
    Low,
}

impl FactPriority {
    /// All priorities, the first one first.
    pub const ALL: [FactPriority; 3] =
        [FactPriority::High, FactPriority::Normal, FactPriority::Low];
}

/// A `FactKind` is a kind of fact with its bounds.
#[derive(Clone, Copy, Debug)]
pub struct FactKind {
    /// Its id.
    pub id: FactKindId,
    /// How the contributions of several nodes are merged.
    pub rule: MergeRule,
    /// How long a node's contribution counts after the node was last heard from.
    pub max_age: Duration,
    /// The maximum number of its subjects.
    pub max_subjects: usize,
    /// Its priority.
    pub priority: FactPriority,
}

impl Default for FactKind {
    fn default() -> Self {
        FactKind {
            id: FactKindId::default(),
            rule: MergeRule::default(),
            max_age: Duration::from_secs(3),
            max_subjects: 1_024,
            priority: FactPriority::default(),
        }
    }
}
