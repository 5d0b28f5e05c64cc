//! The memory of a node.

/// The memory of a node without a setting for it, in MB.
const DEFAULT_MEMORY_MB: f64 = 128.0;
/// The memory that a node uses without clients, in MB.
const IDLE_MEMORY_MB: f64 = 16.0;
/// The least memory for what clients send, in MB.
const MIN_USABLE_MB: f64 = 8.0;
/// The bytes of a MB.
const MB: f64 = 1_048_576.0;

/// A `NodeMemory` is the memory that a node divides among what its clients make it hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeMemory {
    usable_mb: f64,
}

impl NodeMemory {
    /// Returns the memory of a node with this much in all, in MB.
    pub fn new(memory_mb: Option<f64>) -> NodeMemory {
        let usable_mb = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) - IDLE_MEMORY_MB;
        NodeMemory { usable_mb: usable_mb.max(MIN_USABLE_MB) }
    }

    /// Returns the memory of a node with this much in all, in bytes.
    pub fn of_bytes(bytes: u64) -> NodeMemory {
        NodeMemory::new(Some(bytes as f64 / MB))
    }

    /// Returns a share of what is left for clients, in bytes.
    pub fn share(&self, share: f64) -> usize {
        (self.usable_mb * MB * share) as usize
    }
}
