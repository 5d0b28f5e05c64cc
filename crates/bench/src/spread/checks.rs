//! Checkers that find violations of guarantees in a trace, one for each guarantee.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bulrushhall_core::{Revision, Stamp};

use crate::spread::TraceEvent;

/// A `Violation` is a violation of a guarantee in a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A member reverted to an older revision.
    RevisionReverted {
        /// The member.
        member: usize,
        /// The revision that it had.
        from: Revision,
        /// The older revision.
        to: Revision,
    },
    /// A member did not put a revision in force within the time limit.
    RevisionLate {
        /// The member.
        member: usize,
        /// The revision.
        revision: Revision,
    },
    /// A member saw another as leaving and later as no longer leaving.
    LeavingCleared {
        /// The member whose view it is.
        member: usize,
        /// The member that is viewed.
        other: usize,
    },
    /// A member sent new work to another that had been leaving for longer than allowed.
    LateWork {
        /// The sender.
        member: usize,
        /// The receiver.
        to: usize,
        /// How long it had been leaving.
        after: Duration,
    },
}

/// Checks that no member reverts to an older revision.
pub fn revisions_never_revert(trace: &[TraceEvent]) -> Result<(), Violation> {
    let mut newest: BTreeMap<usize, Revision> = BTreeMap::new();
    for event in trace {
        let TraceEvent::InForce { member, revision, .. } = *event else { continue };
        let previous = newest.insert(member, revision).unwrap_or_default();
        if revision < previous {
            return Err(Violation::RevisionReverted { member, from: previous, to: revision });
        }
    }
    Ok(())
}

/// Checks that each of `members` puts each accepted revision, or a later one, in force within
/// `bound`.
pub fn revisions_reach_all(
    trace: &[TraceEvent],
    members: impl IntoIterator<Item = usize> + Clone,
    bound: Duration,
) -> Result<(), Violation> {
    for event in trace {
        let TraceEvent::Accepted { at: accepted, revision } = *event else { continue };
        let mut in_time = BTreeSet::new();
        for event in trace {
            let TraceEvent::InForce { at, member, revision: in_force } = *event else { continue };
            if at <= accepted + bound && revision <= in_force {
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

/// Checks that a member that was seen as leaving is never seen as not leaving by the same observer.
pub fn leaving_never_cleared(trace: &[TraceEvent]) -> Result<(), Violation> {
    let mut seen_leaving = BTreeSet::new();
    for event in trace {
        let TraceEvent::Observed { member, other, leaving, .. } = *event else { continue };
        if leaving {
            seen_leaving.insert((member, other));
        } else if seen_leaving.contains(&(member, other)) {
            return Err(Violation::LeavingCleared { member, other });
        }
    }
    Ok(())
}

/// Checks that no member sends work to another that has been leaving for longer than `bound`.
pub fn no_late_work(trace: &[TraceEvent], bound: Duration) -> Result<(), Violation> {
    let mut leaving_since: BTreeMap<usize, Stamp> = BTreeMap::new();
    for event in trace {
        if let TraceEvent::LeavingStarted { at, member } = *event {
            leaving_since.entry(member).or_insert(at);
        }
        let TraceEvent::Work { at, member, to } = *event else { continue };
        let Some(since) = leaving_since.get(&to) else { continue };
        let after = at.since(*since);
        if bound < after {
            return Err(Violation::LateWork { member, to, after });
        }
    }
    Ok(())
}
