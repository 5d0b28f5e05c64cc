//! The evidence about one part.

/// A `PartTally` is the evidence about one part, over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartTally {
    /// The crashes of servers that were answering requests with the part, each request and each moment counted once.
    pub crashes: u32,
    /// Those of them that had just begun to answer such a request.
    pub just_begun: u32,
    /// The answers to such requests that came to their end.
    pub sound: u32,
}
