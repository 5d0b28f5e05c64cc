//! The ways in which a node finds the version at which a stream began.

/// A `Way` is how nodes know the versions of each other's streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Nothing: a stream is resumed at any version.
    Unknown,
    /// Batched copies at two nodes that are chosen by hash, which are asked.
    Copies,
    /// The node that began the stream keeps it, and all nodes are asked.
    AskAll,
    /// Each node reports its new streams to all others with its digests.
    Gossip,
    /// A hash of the stream's id and the versions that are known chooses the version of new and resumed streams.
    Derived,
}
