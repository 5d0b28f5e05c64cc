//! Violations of the system's guarantees.

use std::fmt;

use serde::Serialize;

/// A `ViolationKind` is the way in which a guarantee was violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// An accepted request did not end.
    AcceptedLost,
    /// An answer has duplicate or missing events.
    NotWhole,
    /// An answer does not belong to its prompt.
    NotOwn,
    /// A call ran although it was reported as not run.
    RanThoughRefused,
    /// A call ran more than once.
    RanTwice,
    /// A call did not run although it was reported as run.
    NeverRan,
    /// A VM that was leaving received new work.
    WorkWhileLeaving,
    /// A planned stop interrupted a request.
    CutByStop,
    /// A configuration was not in force everywhere in time.
    ConfigLate,
    /// A node reverted to an earlier configuration.
    ConfigReverted,
}

/// A `Violation` is one case in which a guarantee was violated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The kind of violation.
    pub broken: ViolationKind,
    /// What it concerns: a request's number and id, an idempotency key, a VM or a node.
    pub subject: String,
    /// What was observed.
    pub seen: String,
}

impl Violation {
    /// Returns a violation of the kind `broken`.
    pub fn new(
        broken: ViolationKind,
        subject: impl Into<String>,
        seen: impl Into<String>,
    ) -> Violation {
        Violation { broken, subject: subject.into(), seen: seen.into() }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {}: {}", self.broken, self.subject, self.seen)
    }
}
