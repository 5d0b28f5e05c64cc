//! The trace of a cluster: events that checkers judge without access to the state machines.

use bulrushhall_core::{Revision, Stamp};

/// A `TraceEvent` is an event in a cluster.
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
    /// A member started to leave.
    LeavingStarted {
        /// When.
        at: Stamp,
        /// The member.
        member: usize,
    },
    /// A member's view of another was sampled.
    Observed {
        /// When.
        at: Stamp,
        /// The member whose view it is.
        member: usize,
        /// The member that is viewed.
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
