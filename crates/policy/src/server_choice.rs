//! The choice of the backend server with the earliest expected answer, for plain services, whose
//! backend servers are not model engines.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::placement::WorkerKey;

/// The penalty for a failure rate of 1, as a multiple of the duration of a call: a failed attempt has
/// to be repeated, mostly after a timeout.
const FAILURE_PENALTY_CALLS: f64 = 12.0;
/// The maximum random jitter of a score, in milliseconds; it keeps nodes from making identical
/// choices.
const JITTER_MS: f64 = 1.0;

/// A `ServerView` is the view that a node has of one backend server of a plain service.
#[derive(Clone, Copy, Debug)]
pub struct ServerView {
    /// The backend server.
    pub key: WorkerKey,
    /// The calls that it serves concurrently.
    pub slots: u32,
    /// The calls that all nodes have there.
    pub calls: u32,
    /// The one-way network latency to it.
    pub network_latency: Duration,
    /// The share of failures among recent calls there.
    pub failure_rate: f64,
    /// Whether its circuit breaker is open; it is then used only if the breakers of all servers
    /// are.
    pub circuit_open: bool,
}

/// Returns the backend server with the lowest score and the expected wait there, or none without
/// servers.
///
/// `call` is the typical duration of a call.
pub fn choose_server(
    servers: &[ServerView],
    call: Duration,
    random: &mut dyn Rng,
) -> Option<(WorkerKey, Duration)> {
    let call_ms = call.as_secs_f64() * 1_000.0;
    let any_closed = servers.iter().any(|server| !server.circuit_open);
    let mut best: Option<(f64, WorkerKey, f64)> = None;
    for server in servers {
        if server.circuit_open && any_closed {
            continue;
        }
        let slots = f64::from(server.slots.max(1));
        let wait = (f64::from(server.calls + 1) - slots).max(0.0) / slots * call_ms;
        let load = f64::from(server.calls) / slots * call_ms;
        let round_trip = server.network_latency.as_secs_f64() * 2_000.0;
        let failure_penalty = server.failure_rate * FAILURE_PENALTY_CALLS * call_ms;
        let score =
            wait + load + round_trip + failure_penalty + random.random_range(0.0..JITTER_MS);
        if best.is_none_or(|(lowest, ..)| score < lowest) {
            best = Some((score, server.key, wait));
        }
    }
    best.map(|(_, key, wait)| (key, Duration::from_secs_f64(wait / 1_000.0)))
}
