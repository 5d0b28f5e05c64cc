//! What the evidence leads to.

use super::{BlockKind, Confidence, PartId};

/// A `Blame` is what is found to crash servers: requests that have all of some parts, or one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blame {
    /// The parts in ascending order, or the digest of the request. There are several parts only if no request had one without the
    /// others.
    pub parts: Vec<PartId>,
    /// Which of the two.
    pub kind: BlockKind,
    /// The crashes.
    pub crashes: u32,
    /// Whether the evidence suffices by itself.
    pub confidence: Confidence,
}
