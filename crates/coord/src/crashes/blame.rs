//! What the evidence leads to.

use super::PartId;

/// A `Blame` is the parts that together are found to crash servers: requests that have all of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blame {
    /// The parts, in ascending order. There are several only if no request had one without the others.
    pub parts: Vec<PartId>,
    /// The crashes.
    pub crashes: u32,
}
