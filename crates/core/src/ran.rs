//! Whether a refused or failed request was run.

use serde::{Deserialize, Serialize};

/// A `Ran` states whether a backend server may have run a request.
///
/// The values are ordered: the result of several attempts is their maximum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Nothing of the request was written to a backend server, and nothing will be.
    #[default]
    No,
    /// Some of the request was written to a backend server; whether it ran is unknown.
    Unknown,
    /// A backend server responded that it ran the request.
    Yes,
}

impl Ran {
    /// Returns the result of this attempt and another one together.
    pub fn combine(self, other: Ran) -> Ran {
        self.max(other)
    }

    /// Returns the name used on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::Yes => "yes",
        }
    }
}
