//! What happened in a cluster, for checkers that know nothing of the machines.

use bulrushhall_core::{Revision, Stamp};

/// A `TraceEvent` is one thing that happened at a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TraceEvent {
    /// A revision was accepted by the key-value service.
    Accepted {
        /// When.
        at: Stamp,
        /// The revision.
        revision: Revision,
    },
    /// A member put a revision in force.
    InForce {
        /// When.
        at: Stamp,
        /// The member.
        member: usize,
        /// The revision.
        revision: Revision,
    },
    /// A member began to leave.
    Left {
        /// When.
        at: Stamp,
        /// The member.
        member: usize,
    },
    /// A member's view of another was looked at.
    Seen {
        /// When.
        at: Stamp,
        /// The member whose view it is.
        member: usize,
        /// The other one.
        other: usize,
        /// Whether it is seen as leaving.
        leaving: bool,
    },
    /// A member sent new work to another.
    Work {
        /// When.
        at: Stamp,
        /// The sender.
        member: usize,
        /// The receiver.
        to: usize,
    },
}
