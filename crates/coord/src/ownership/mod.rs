//! Ownership of accepted requests: which node runs a request, which peer holds its copy, and how
//! ownership moves between nodes.

mod machine;
mod message;
mod options;
mod peers;
mod produced;
mod receive;
mod state;
mod sweep;

pub use machine::{Action, CopyLocation, Ownership};
pub use message::{Message, Version};
pub use options::OwnershipOptions;
pub use peers::Peer;
