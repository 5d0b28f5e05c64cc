//! The memory of a node for what callers and other nodes send.

use bulrushhall_external::http::NodeMemory;
pub use bulrushhall_external::http::{BodyBudget, BodyRoom, NoRoom};

use crate::capacity_settings::CapacitySettings;

/// The share of a node's memory for the messages of other nodes.
const MESSAGE_SHARE: f64 = 0.12;
/// The least memory for them, in bytes: the largest message, and what is kept for what can't wait.
const MIN_MESSAGE_BYTES: usize = 5 << 20;

/// The share of a node's memory for incomplete events of backend servers.
const EVENT_SHARE: f64 = 0.08;
/// The least memory for them, in bytes: the largest event, and one that is read ahead.
const MIN_EVENT_MEMORY: usize = 2 << 20;

/// Returns the memory for incomplete events of backend servers.
pub fn event_budget(capacity: &CapacitySettings) -> BodyBudget {
    let memory = NodeMemory::new(capacity.memory_mb);
    BodyBudget::with_bytes(memory.share(EVENT_SHARE).max(MIN_EVENT_MEMORY))
}

/// Returns the memory for the messages of other nodes.
pub fn message_budget(capacity: &CapacitySettings) -> BodyBudget {
    let memory = NodeMemory::new(capacity.memory_mb);
    BodyBudget::with_bytes(memory.share(MESSAGE_SHARE).max(MIN_MESSAGE_BYTES))
}
