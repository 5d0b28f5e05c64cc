//! A promise that was not kept.

use std::fmt;

use serde::Serialize;

/// A `Broken` names the promise that was not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Broken {
    /// An accepted request did not reach its end.
    AcceptedLost,
    /// An answer has events twice or lacks some.
    NotWhole,
    /// An answer is not the one to its prompt.
    NotOwn,
    /// A request ran although its caller was told that it did not.
    RanThoughRefused,
    /// A call ran more than once.
    RanTwice,
    /// A call did not run although its caller was told that it did.
    NeverRan,
    /// A VM got new work although it was leaving.
    WorkWhileLeaving,
    /// A planned stop cut off a request.
    CutByStop,
    /// A configuration was not in force everywhere in time.
    ConfigLate,
    /// A node went back to an earlier configuration.
    ConfigReverted,
}

/// A `Violation` is one case of a broken promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The promise.
    pub broken: Broken,
    /// What it was about: a request's number and id, a key, a VM or a node.
    pub subject: String,
    /// What was seen.
    pub seen: String,
}

impl Violation {
    /// Returns a case of a broken promise.
    pub fn new(broken: Broken, subject: impl Into<String>, seen: impl Into<String>) -> Violation {
        Violation { broken, subject: subject.into(), seen: seen.into() }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {}: {}", self.broken, self.subject, self.seen)
    }
}
