//! Engines that have nothing to do.

use std::time::Duration;

use bulrushhall_policy::{engine_choice::EngineView, placement::WorkerKey};

/// Returns the view of an engine with nothing to do, and memory for `memory` tokens.
pub fn engine(key: WorkerKey, identity: u64, memory: u64) -> EngineView {
    EngineView {
        key,
        identity,
        slots: 64,
        memory,
        requests: 0,
        waiting_tokens: 0,
        held_tokens: 0,
        cached: 0,
        slowness: 1.0,
        network_latency: Duration::ZERO,
        failure_rate: 0.0,
        circuit_open: false,
    }
}
