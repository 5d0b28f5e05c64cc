//! The pace of the fleet plan.

use std::time::Duration;

/// `FleetOptions` set the pace of purchases and releases.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetOptions {
    /// How long a place that refused is left alone at first; it doubles with each refusal.
    pub refused: Duration,
    /// The longest time that a place is left alone.
    pub refused_max: Duration,
    /// How long a zone and class is left alone after its VMs were taken back.
    pub reclaimed: Duration,
    /// The pause between two purchases with the same token.
    pub repeat: Duration,
    /// How long fewer engines must be needed before any is given back.
    pub scale_in: Duration,
    /// How many times a VM's price another place must undercut before the VM is replaced.
    pub undercut: f64,
    /// How long a VM that no plan knows must be listed before it is released.
    pub orphan: Duration,
}

impl Default for FleetOptions {
    fn default() -> Self {
        FleetOptions {
            refused: Duration::from_secs(5),
            refused_max: Duration::from_secs(300),
            reclaimed: Duration::from_secs(60),
            repeat: Duration::from_secs(2),
            scale_in: Duration::from_secs(120),
            undercut: 1.3,
            orphan: Duration::from_secs(120),
        }
    }
}
