//! The variants that are compared: placement, purchase of VMs, and recovery after reclaims.

/// A `Fleet` is how the VMs of the engines are bought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fleet {
    /// The planner buys them.
    Planned,
    /// The needed number is bought at the start, all on demand.
    OnDemand,
}

/// A `Recovery` is how the requests on a reclaimed engine are continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// The KV cache is moved where this costs less than recomputing it; other requests are resumed
    /// after their emitted tokens.
    Move,
    /// All requests are resumed after their emitted tokens.
    Resume,
    /// All requests restart from the prompt.
    Restart,
}

/// A `Setup` is one combination of placement, fleet and recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Setup {
    /// The name of the placement.
    pub placement: &'static str,
    /// How the VMs are bought.
    pub fleet: Fleet,
    /// How requests continue after a reclaim.
    pub recovery: Recovery,
}

impl Default for Setup {
    fn default() -> Self {
        Setup { placement: "predicted", fleet: Fleet::Planned, recovery: Recovery::Move }
    }
}
