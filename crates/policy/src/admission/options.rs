//! The bounds and rates of an admission queue.

use std::time::Duration;

/// `AdmissionOptions` bound an admission queue.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// The most tokens that may wait.
    pub queued_tokens: u64,
    /// The shortest time that a refused caller is told to stay away, before jitter.
    pub retry_after: Duration,
    /// The longest time that a refused caller is told to stay away, before jitter.
    pub retry_after_max: Duration,
    /// The least urgent priority that is refused when its first token would come late.
    pub interactive: u8,
    /// The part of the time to the first token that waiting in the queue may take.
    pub wait_share: f64,
    /// The part of capacity that requests behind the interactive ones leave free.
    pub reserve: f64,
    /// The part of started tokens that overdue patient requests may take from interactive ones.
    pub overdue_share: f64,
    /// How many times its expected duration a patient request is due before its deadline.
    pub overdue_margin: f64,
    /// The tokens a second that one running request gets, before any was measured.
    pub tokens_per_second: f64,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        AdmissionOptions {
            queued_tokens: 2_000_000,
            retry_after: Duration::from_secs(1),
            retry_after_max: Duration::from_secs(30),
            interactive: 0,
            wait_share: 0.3,
            reserve: 0.15,
            overdue_share: 0.25,
            overdue_margin: 2.0,
            tokens_per_second: 40.0,
        }
    }
}
