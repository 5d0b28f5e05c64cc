//! One service and the capacity of its backend servers.

use bulrushhall_policy::fleet_counts::CountLimits;

/// The fraction of an engine's KV cache that holds cached prefixes; the rest is for running requests.
const PREFIX_CACHE_FRACTION: f64 = 0.6;

/// `EngineSizes` are the capacities of one model engine of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSizes {
    /// The number of requests in its batch.
    pub slots: u32,
    /// The capacity of its KV cache, in tokens.
    pub memory: u64,
    /// The number of tokens that it copies from another engine's KV cache in a millisecond; 0 if it can't.
    pub copied_per_ms: f64,
}

impl EngineSizes {
    /// Returns the number of cached prompt tokens that an engine presumably keeps besides running requests.
    pub fn prefix_cache_tokens(&self) -> u64 {
        (self.memory as f64 * PREFIX_CACHE_FRACTION) as u64
    }
}

/// A `ServiceEntry` is one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// The maximum number of connections that one backend server accepts from all nodes together.
    pub connections: u32,
    /// The capacities of its engines; none for a plain service.
    pub engine: Option<EngineSizes>,
    /// The limits of its number of backend servers, if the platform accepts orders.
    pub counts: Option<CountLimits>,
}
