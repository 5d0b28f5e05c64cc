//! Results of the registry.

use std::time::Duration;

use super::FactValue;

/// A `Merged` is the value of a subject over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Merged {
    /// The value.
    pub value: FactValue,
    /// The greatest time since a node that contributes to it was last heard from; zero for the own
    /// contribution.
    pub age: Duration,
    /// The number of nodes that contribute to it.
    pub nodes: u32,
}

/// `Received` states what a received batch has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// The number of facts that were applied.
    pub applied: usize,
    /// The number of facts of kinds that this node does not know.
    pub unknown_kinds: usize,
    /// The number of facts that were skipped because their kind has its maximum number of subjects.
    pub excess_subjects: usize,
}
