//! The options of the fleet plan.

use std::time::Duration;

/// `FleetOptions` control the timing of purchases and releases.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetOptions {
    /// The initial backoff of a place that refused a purchase; it doubles with each consecutive
    /// refusal.
    pub initial_backoff: Duration,
    /// The maximum backoff of a place.
    pub max_backoff: Duration,
    /// The backoff of a place after a VM in it was reclaimed.
    pub reclaim_backoff: Duration,
    /// The interval between two purchase attempts with the same token.
    pub purchase_retry_interval: Duration,
    /// How long fewer engines must be needed before any is released.
    pub scale_in_delay: Duration,
    /// The minimum ratio of the price of a VM to the price of another place at which the VM is
    /// replaced.
    pub replace_price_ratio: f64,
    /// How long a VM that is not in the plan must be listed before it is released.
    pub orphan_grace_period: Duration,
}

impl Default for FleetOptions {
    fn default() -> Self {
        FleetOptions {
            initial_backoff: Duration::from_secs(5),
            max_backoff: Duration::from_secs(300),
            reclaim_backoff: Duration::from_secs(60),
            purchase_retry_interval: Duration::from_secs(2),
            scale_in_delay: Duration::from_secs(120),
            replace_price_ratio: 1.3,
            orphan_grace_period: Duration::from_secs(120),
        }
    }
}
