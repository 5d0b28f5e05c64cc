//! The memory of a node for what callers and other nodes send.

use bulrushhall_external::http::NodeMemory;
pub use bulrushhall_external::http::{BodyBudget, BodyRoom, NoRoom};

use crate::capacity_settings::CapacitySettings;

/// The share of a node's memory for the messages of other nodes.
const MESSAGE_SHARE: f64 = 0.12;
/// The least memory for them, in bytes: the largest message, and what is kept for what can't wait.
const MIN_MESSAGE_BYTES: usize = 5 << 20;

/// Returns the memory for the messages of other nodes.
pub fn message_budget(capacity: &CapacitySettings) -> BodyBudget {
    let memory = NodeMemory::new(capacity.memory_mb);
    BodyBudget::with_bytes(memory.share(MESSAGE_SHARE).max(MIN_MESSAGE_BYTES))
}
