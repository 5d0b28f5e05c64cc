//! One service and the sizes of its backend servers.

use bulrushhall_policy::fleet_counts::CountLimits;

/// `EngineSizes` are what one model engine of a service holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSizes {
    /// The requests in its batch.
    pub slots: u32,
    /// The tokens in its memory.
    pub memory: u64,
}

/// A `ServiceEntry` is one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// The connections that one backend server takes from all nodes together.
    pub connections: u32,
    /// The sizes of its engines; none where it is a plain service.
    pub engine: Option<EngineSizes>,
    /// How many backend servers may be ordered, where the platform takes orders.
    pub counts: Option<CountLimits>,
}
