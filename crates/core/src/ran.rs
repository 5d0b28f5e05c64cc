//! Whether a refused or failed request was run.

use serde::{Deserialize, Serialize};

/// A `Ran` tells a caller whether a backend server may have run the request.
///
/// Values are ordered: over several attempts the greatest one holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Nothing was written to a backend server for it, and nothing will be.
    #[default]
    No,
    /// Some of it was written to a backend server; whether it ran cannot be told.
    Unknown,
    /// A backend server answered that it ran.
    Yes,
}

impl Ran {
    /// Returns what holds for both this attempt and one that ended as `other`.
    pub fn combine(self, other: Ran) -> Ran {
        self.max(other)
    }

    /// Returns the word used on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::Yes => "yes",
        }
    }
}
