//! Coordination parts as state machines: time and events in, actions out.
//!
//! Nothing here reads a clock, opens a socket or spawns a task, so every run can be replayed.

pub mod ledger;
pub mod ownership;

pub use ledger::{Claim, Ledger, LedgerOptions};
pub use ownership::{Action, Copied, Message, Ownership, OwnershipOptions, Peer, Version};
