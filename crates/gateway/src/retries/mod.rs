//! The retries that this node may send to each service, and those that stopped nodes have sent.

mod ended;
mod state;

pub use ended::{ENDED_PATH, EndedRetries, hand_over_retries, receive_ended};
pub use state::{RetryCheck, RetryState, note_members};
