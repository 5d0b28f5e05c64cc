//! The limits of roll-outs.

use std::time::Duration;

/// `RolloutOptions` are the limits that a deployment sets for roll-outs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutOptions {
    /// The share of a service's requests that a bad version may get in a roll-out.
    pub exposure_share: f64,
    /// The number of requests that it may get in addition.
    pub exposure_headroom: f64,
    /// The time between a change of the share and the first evidence about it: digests take up to three hops,
    /// and requests have to be answered.
    pub reaction: Duration,
    /// The time before the deadline at which a roll-out is decided.
    pub margin: Duration,
    /// The longest time for which the share stays at its first value.
    pub max_canary: Duration,
}

impl Default for RolloutOptions {
    fn default() -> Self {
        RolloutOptions {
            exposure_share: 0.1,
            exposure_headroom: 50.0,
            reaction: Duration::from_millis(1_000),
            margin: Duration::from_millis(900),
            max_canary: Duration::from_secs(60),
        }
    }
}
