//! The evidence about one part.

use std::time::Duration;

use super::BlockKind;

/// A `PartTally` is the evidence about one part, or one request, over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartTally {
    /// Whether it is a part or a request.
    pub kind: BlockKind,
    /// The crashes of servers that were answering requests with the part, since its last sound answer; each moment counts
    /// once.
    pub crashes: u32,
    /// These crashes, each server counted.
    pub servers: u32,
    /// The same with all crashes under one request.
    pub all_servers: u32,
    /// Those of them in which no other request had begun to be answered later.
    pub closest: u32,
    /// The same with those in which one of its requests had not begun to be answered, and no other one had just begun.
    pub closest_or_unbegun: u32,
    /// Whether an answer to such a request has come to its end before.
    pub is_known_sound: bool,
    /// The latest such answers that this node has seen.
    pub answered: u32,
    /// The time since so many servers had crashed that they may be evidence by themselves; none if there were not as many, or if
    /// all of them crashed in one moment and this node has seen no sound answer since.
    pub since_many: Option<Duration>,
    /// Whether this node has seen a sound answer to any request since the first of these crashes.
    pub is_other_sound: bool,
}

impl PartTally {
    /// Returns whether no sound answer to it is known, for a request neither an earlier one of this node.
    pub fn is_new(&self) -> bool {
        let is_answered = self.kind == BlockKind::Request && 0 < self.answered;
        !self.is_known_sound && !is_answered
    }
}
