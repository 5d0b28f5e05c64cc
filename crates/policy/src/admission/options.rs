//! The options of an admission queue.

use std::time::Duration;

/// `AdmissionOptions` are the limits and rates of an admission queue.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// The maximum tokens of all waiting requests.
    pub max_queued_tokens: u64,
    /// The minimum delay after which a refused caller may retry, before jitter.
    pub min_retry_after: Duration,
    /// The maximum delay after which a refused caller may retry, before jitter.
    pub max_retry_after: Duration,
    /// The least urgent interactive priority; an interactive request is refused if its first token
    /// would be late.
    pub interactive_priority: u8,
    /// The maximum share of the target time to first token that may be spent in the queue.
    pub max_wait_share: f64,
    /// The share of the capacity that is reserved for interactive requests.
    pub reserved_share: f64,
    /// The tokens of overdue background requests that may start for each token of other requests.
    pub overdue_share: f64,
    /// A background request is overdue when the time to its deadline is at most this multiple of
    /// its expected duration.
    pub overdue_factor: f64,
    /// The initial estimate of the tokens per second of one running request.
    pub tokens_per_second: f64,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        AdmissionOptions {
            max_queued_tokens: 2_000_000,
            min_retry_after: Duration::from_secs(1),
            max_retry_after: Duration::from_secs(30),
            interactive_priority: 0,
            max_wait_share: 0.3,
            reserved_share: 0.15,
            overdue_share: 0.25,
            overdue_factor: 2.0,
            tokens_per_second: 40.0,
        }
    }
}
