//! Who owns an accepted request, who holds its copy, and how ownership passes on.

mod machine;
mod message;
mod options;
mod peers;
mod receive;
mod row;
mod sweep;

pub use machine::{Action, CopyLocation, Ownership};
pub use message::{Message, Version};
pub use options::OwnershipOptions;
pub use peers::Peer;
