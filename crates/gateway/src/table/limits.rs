//! Limits on the size and the duration of callers' requests.

use std::time::Duration;

/// `CallerLimits` are the limits of one caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// The timeout for a head to arrive.
    pub head_timeout: Duration,
    /// The timeout of an idle connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    // The limits that deployments configure.
    fn default() -> Self {
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
