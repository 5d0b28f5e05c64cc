//! The times that ownership works with.

use std::time::Duration;

/// `OwnershipOptions` set the times that ownership works with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipOptions {
    /// The shortest time between two checkpoints of one request.
    pub checkpoint_interval: Duration,
    /// How long an answer to a message is waited for before it is sent again.
    pub retry: Duration,
    /// How long a holder may leave checkpoints unanswered before another is chosen.
    pub holder_timeout: Duration,
    /// How long one peer may take for the first copy.
    pub copy_timeout: Duration,
    /// How long acceptance waits for a first copy over all peers.
    pub accept_timeout: Duration,
    /// How long an owner must be missing from the members before its holder takes over.
    pub takeover: Duration,
    /// How long a holder hears nothing of a copy before it asks whether it is still needed.
    pub ask: Duration,
    /// How long a leaving holder waits for owners to copy elsewhere before it does so itself.
    pub pass_on: Duration,
    /// How long it is remembered where a request went.
    pub keep: Duration,
    /// How many times a new owner announces itself.
    pub claims: u8,
    /// The number of peers that a new owner announces itself to, beside the old owner.
    pub claimed_to: usize,
}

impl Default for OwnershipOptions {
    fn default() -> Self {
        OwnershipOptions {
            checkpoint_interval: Duration::from_millis(4),
            retry: Duration::from_millis(300),
            holder_timeout: Duration::from_millis(1_500),
            copy_timeout: Duration::from_millis(300),
            accept_timeout: Duration::from_millis(900),
            takeover: Duration::from_millis(200),
            ask: Duration::from_secs(10),
            pass_on: Duration::from_millis(400),
            keep: Duration::from_secs(300),
            claims: 3,
            claimed_to: 8,
        }
    }
}
