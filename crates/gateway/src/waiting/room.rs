//! The free capacity of a service's engines.

use std::time::Duration;

use bulrushhall_core::{ServiceName, Stamp};
use bulrushhall_policy::waiting::room_tokens;

use crate::{gateway::State, table::EngineSizes};

/// The usable share of an engine's memory, as in the choice of engines.
const USABLE_MEMORY_SHARE: f64 = 0.85;

/// An `EngineRoom` is the free capacity of a service's engines as this node knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineRoom {
    /// The number of engines that accept requests.
    pub engines: usize,
    /// The work that they can be sent in one exchange, in tokens.
    pub free: f64,
    /// The work that they do in a second, in tokens.
    pub per_second: f64,
}

impl EngineRoom {
    /// Returns the free capacity of a service's engines.
    ///
    /// `mean_work` is the mean work of a request in tokens: as much is assumed for each request that is queued at an engine
    /// because its batch is full.
    pub fn of(
        state: &mut State,
        now: Stamp,
        service: &ServiceName,
        sizes: EngineSizes,
        (exchange, mean_work): (Duration, f64),
    ) -> EngineRoom {
        let per_ms = state.observed(service).engines.model().prefill_tokens_per_ms();
        let mut room = EngineRoom::default();
        for (_, backend) in state.backends.accepting(service) {
            if !backend.announced.accepts_request(now) || backend.circuit_breaker.is_open(now) {
                continue;
            }
            let per_ms = per_ms / backend.slowness(state.speed_source).max(f64::MIN_POSITIVE);
            room.engines += 1;
            room.per_second += per_ms * 1_000.0;
            if sizes.memory as f64 * USABLE_MEMORY_SHARE <= backend.held(now) as f64 {
                continue;
            }
            let queued = backend.requests(now).saturating_sub(sizes.slots);
            let waiting = backend.waiting(now) as f64;
            let used = waiting + f64::from(queued) * mean_work;
            room.free += (room_tokens(exchange, per_ms) - used).max(0.0);
        }
        room
    }
}
