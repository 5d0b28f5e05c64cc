//! The backend server of a plain service that answers soonest.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::placement::WorkerKey;

/// What a share of failures of 1 adds, in calls: an attempt that has to be made again, mostly after a
/// silence.
const FAILING_CALLS: f64 = 12.0;
/// The spread, in milliseconds, of a random addend that keeps nodes from choosing alike.
const JITTER_MS: f64 = 1.0;

/// A `ServerView` is what a node believes of one backend server of a plain service.
#[derive(Clone, Copy, Debug)]
pub struct ServerView {
    /// The backend server.
    pub key: WorkerKey,
    /// The calls that it serves at once.
    pub slots: u32,
    /// The calls of all nodes there.
    pub calls: u32,
    /// The one-way latency to it.
    pub network_latency: Duration,
    /// The share of failures among the last calls there.
    pub failure_rate: f64,
    /// Whether it fails too often to be used while there are others.
    pub circuit_open: bool,
}

/// Chooses a backend server, with the wait that is expected there; none without one. Calls mostly take
/// `call`.
pub fn choose_server(
    servers: &[ServerView],
    call: Duration,
    random: &mut dyn Rng,
) -> Option<(WorkerKey, Duration)> {
    let call_ms = call.as_secs_f64() * 1_000.0;
    let trusted = servers.iter().any(|server| !server.circuit_open);
    let mut best: Option<(f64, WorkerKey, f64)> = None;
    for server in servers {
        if server.circuit_open && trusted {
            continue;
        }
        let slots = f64::from(server.slots.max(1));
        let wait = (f64::from(server.calls + 1) - slots).max(0.0) / slots * call_ms;
        let filled = f64::from(server.calls) / slots * call_ms;
        let way = server.network_latency.as_secs_f64() * 2_000.0;
        let failing = server.failure_rate * FAILING_CALLS * call_ms;
        let score = wait + filled + way + failing + random.random_range(0.0..JITTER_MS);
        if best.is_none_or(|(least, ..)| score < least) {
            best = Some((score, server.key, wait));
        }
    }
    best.map(|(_, key, wait)| (key, Duration::from_secs_f64(wait / 1_000.0)))
}
