//! The connections of a port by the memory of its node.

use crate::http::NodeMemory;

/// The memory of a connection, in bytes: what has been read of a head or of a small body, what the body's reader has not
/// taken yet, what is written, and its state.
const MAX_CONNECTION_BYTES: usize = 48 * 1_024;

/// A `PortShare` is the part of a node's memory that the connections of a port may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PortShare {
    /// The part.
    pub share: f64,
    /// The least number of connections.
    pub min: usize,
    /// The greatest number of connections.
    pub max: usize,
}

impl PortShare {
    /// Returns how many connections a port may have on a node with some memory.
    pub fn connections(&self, memory: NodeMemory) -> usize {
        let count = memory.share(self.share) / MAX_CONNECTION_BYTES;
        count.clamp(self.min, self.max)
    }
}
