//! Coordination parts as state machines: time and events in, actions out.
//!
//! Nothing here reads a clock, opens a socket or spawns a task, so every run can be replayed.

pub mod attempts;
pub mod chain;
pub mod claims;
pub mod head;
pub mod ledger;
pub mod ownership;

pub use attempts::Attempts;
pub use chain::{ChainCall, ChainReply, ChainStep, ChainWriter, Refusal};
pub use claims::{ClaimRefusal, Claims, ClaimsAction, ClaimsOptions, KeyHash, Shard, Swapped};
pub use head::{Head, HeadError};
pub use ledger::{Claim, Ledger, LedgerOptions};
pub use ownership::{Action, Copied, Message, Ownership, OwnershipOptions, Peer, Version};
