//! Checkers of traces, one for each promise.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bulrushhall_core::{Revision, Stamp};

use crate::spread::TraceEvent;

/// A `Violation` is a promise that a trace breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A member went back to an older revision.
    RevisionFell {
        /// The member.
        member: usize,
        /// The revision that it had.
        from: Revision,
        /// The revision that it took.
        to: Revision,
    },
    /// A member did not have a revision in force in time.
    RevisionLate {
        /// The member.
        member: usize,
        /// The revision.
        revision: Revision,
    },
    /// A member saw another as leaving and later as staying.
    LeavingCleared {
        /// The member whose view it is.
        member: usize,
        /// The other one.
        other: usize,
    },
    /// A member sent new work to another that had long been leaving.
    LateWork {
        /// The sender.
        member: usize,
        /// The receiver.
        to: usize,
        /// How long it had been leaving.
        after: Duration,
    },
}

/// Checks that no member goes back to an older revision.
pub fn revisions_never_fall(trace: &[TraceEvent]) -> Result<(), Violation> {
    let mut newest: BTreeMap<usize, Revision> = BTreeMap::new();
    for event in trace {
        let TraceEvent::InForce { member, revision, .. } = *event else { continue };
        let had = newest.insert(member, revision).unwrap_or_default();
        if revision < had {
            return Err(Violation::RevisionFell { member, from: had, to: revision });
        }
    }
    Ok(())
}

/// Checks that each of `members` has each accepted revision, or a later one, within `bound`.
pub fn revision_everywhere(
    trace: &[TraceEvent],
    members: impl IntoIterator<Item = usize> + Clone,
    bound: Duration,
) -> Result<(), Violation> {
    for event in trace {
        let TraceEvent::Accepted { at: accepted, revision } = *event else { continue };
        let mut in_time = BTreeSet::new();
        for event in trace {
            let TraceEvent::InForce { at, member, revision: taken } = *event else { continue };
            if at <= accepted + bound && revision <= taken {
                in_time.insert(member);
            }
        }
        for member in members.clone() {
            if !in_time.contains(&member) {
                return Err(Violation::RevisionLate { member, revision });
            }
        }
    }
    Ok(())
}

/// Checks that no member sees another as staying after it saw it as leaving.
pub fn leaving_never_cleared(trace: &[TraceEvent]) -> Result<(), Violation> {
    let mut seen = BTreeSet::new();
    for event in trace {
        let TraceEvent::Seen { member, other, leaving, .. } = *event else { continue };
        if leaving {
            seen.insert((member, other));
        } else if seen.contains(&(member, other)) {
            return Err(Violation::LeavingCleared { member, other });
        }
    }
    Ok(())
}

/// Checks that no member sends work to another that has been leaving for longer than `bound`.
pub fn no_late_work(trace: &[TraceEvent], bound: Duration) -> Result<(), Violation> {
    let mut left: BTreeMap<usize, Stamp> = BTreeMap::new();
    for event in trace {
        if let TraceEvent::Left { at, member } = *event {
            left.entry(member).or_insert(at);
        }
        let TraceEvent::Work { at, member, to } = *event else { continue };
        let Some(since) = left.get(&to) else { continue };
        let after = at.since(*since);
        if bound < after {
            return Err(Violation::LateWork { member, to, after });
        }
    }
    Ok(())
}
