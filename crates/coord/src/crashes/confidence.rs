//! How much evidence there is for a block.

use serde::{Deserialize, Serialize};

/// A `Confidence` is whether the evidence tells a part, or a request, that crashes servers from one that was beside.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Confidence {
    /// It does not, but so many servers have crashed that no more may be lost to find out: the next request is a probe.
    Doubtful,
    /// It does. Nodes of an earlier version write such records only.
    #[default]
    Certain,
}

impl Confidence {
    /// Returns its label in logs and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Confidence::Doubtful => "doubtful",
            Confidence::Certain => "certain",
        }
    }

    /// Returns whether it is `Certain`.
    pub fn is_certain(&self) -> bool {
        *self == Confidence::Certain
    }
}
