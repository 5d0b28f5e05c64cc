//! Intervals, timeouts and limits of the ownership protocol.

use std::time::Duration;

/// `OwnershipOptions` set the intervals, timeouts and limits of the ownership protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipOptions {
    /// The minimum time between two checkpoints of one request.
    pub checkpoint_interval: Duration,
    /// How long to wait for the reply to a message before it is sent again.
    pub retry_interval: Duration,
    /// How long a holder may leave checkpoints unacknowledged before another one is chosen.
    pub holder_timeout: Duration,
    /// How long one peer may take to acknowledge the first copy.
    pub copy_timeout: Duration,
    /// How long the acceptance of a request waits for a first copy, over all peers that are tried.
    pub accept_timeout: Duration,
    /// How long an owner must be absent from the membership before its holder takes over.
    pub takeover_delay: Duration,
    /// How long a holder receives nothing for a copy before it asks whether the copy is still
    /// needed.
    pub ask_delay: Duration,
    /// How long a leaving holder waits for owners to copy to another peer before it does so itself.
    pub pass_on_delay: Duration,
    /// How long the tombstone of a request is kept, which names its last known owner.
    pub tombstone_retention: Duration,
    /// How many times a new owner sends its claim.
    pub claim_rounds: u8,
    /// The number of peers that receive a claim, in addition to the previous owner.
    pub claim_fanout: usize,
}

impl Default for OwnershipOptions {
    fn default() -> Self {
        OwnershipOptions {
            checkpoint_interval: Duration::from_millis(4),
            retry_interval: Duration::from_millis(300),
            holder_timeout: Duration::from_millis(1_500),
            copy_timeout: Duration::from_millis(300),
            accept_timeout: Duration::from_millis(900),
            takeover_delay: Duration::from_millis(200),
            ask_delay: Duration::from_secs(10),
            pass_on_delay: Duration::from_millis(400),
            tombstone_retention: Duration::from_secs(300),
            claim_rounds: 3,
            claim_fanout: 8,
        }
    }
}
