//! The demand that a fleet plan is based on.

use bulrushhall_core::{ServiceName, Stamp};
use bulrushhall_policy::observed::EngineLatencyModel;

use crate::{
    fleet_settings::FleetSettings,
    gateway::State,
    reported_facts::{offered_by_others, shared_model},
    table::EngineSizes,
};

/// The fraction of an engine's KV cache that the plan gives to running requests; the rest is for the
/// prefixes that prompts share.
const REQUEST_MEMORY_FRACTION: f64 = 0.7;

/// A `FleetDemand` is the demand for the engines of a service, and what it is derived from.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetDemand {
    /// The number of engines that it keeps busy, by compute time or by KV cache, whichever needs more.
    pub busy: f64,
    /// The latency model of the engines.
    pub model: EngineLatencyModel,
    /// The prompt tokens that are at engines and not yet computed.
    pub queued_tokens: u64,
}

impl FleetDemand {
    /// Returns the demand of all nodes.
    pub fn of(
        state: &mut State,
        now: Stamp,
        service: &ServiceName,
        sizes: EngineSizes,
        settings: &FleetSettings,
    ) -> FleetDemand {
        let own = state.demand.get_mut(service).map(|demand| demand.rate(now));
        let offered = own.unwrap_or_default().plus(offered_by_others(state, now, service));
        let (mut held, mut queued_tokens) = (0, 0);
        for (_, backend) in state.backends.accepting(service) {
            held += backend.held(now);
            queued_tokens += backend.waiting(now);
        }
        let shared = settings.shared_model.then(|| shared_model(state, now, service)).flatten();
        let model = shared.unwrap_or_else(|| state.observed(service).engines.model());
        let backlog = offered.backlog(queued_tokens, *settings.backlog_time);
        let memory = held as f64 / (sizes.memory.max(1) as f64 * REQUEST_MEMORY_FRACTION);
        let busy = offered.plus(backlog).busy_engines(&model, sizes.slots).max(memory);
        FleetDemand { busy, model, queued_tokens }
    }
}
