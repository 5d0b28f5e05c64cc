//! One service and the sizes of its backend servers.

use bulrushhall_policy::fleet_counts::CountLimits;

/// The part of an engine's memory that prompts are remembered in; the rest is for those running.
const REMEMBERED_SHARE: f64 = 0.6;

/// `EngineSizes` are what one model engine of a service holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSizes {
    /// The requests in its batch.
    pub slots: u32,
    /// The tokens in its memory.
    pub memory: u64,
    /// The tokens that it copies from another one's memory in a millisecond; 0 where it can't.
    pub copied_per_ms: f64,
}

impl EngineSizes {
    /// Returns the tokens of prompts that an engine is believed to keep besides what is running.
    pub fn remembered(&self) -> u64 {
        (self.memory as f64 * REMEMBERED_SHARE) as u64
    }
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
