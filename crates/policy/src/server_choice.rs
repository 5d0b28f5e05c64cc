//! The choice of the backend server with the earliest expected answer, for plain services, whose
//! backend servers are not model engines.

use std::time::Duration;

use bulrushhall_core::bounded_seconds;

use rand::{Rng, RngExt};

use crate::placement::WorkerKey;

/// The penalty for a failure rate of 1, as a multiple of the duration of a call: a failed attempt has
/// to be repeated, mostly after a timeout.
const FAILURE_PENALTY_CALLS: f64 = 12.0;
/// The penalty for a late answer that is certain, as a multiple of the duration of a call.
const LATE_PENALTY_CALLS: f64 = 12.0;
/// The shape of the distribution of durations: 1 in 20 calls takes more than twice the typical time.
const LATE_SHAPE: f64 = 4.25;
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

/// A `CallSpeed` is how fast a backend server answers calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallSpeed {
    /// The lasting time of a call as a multiple of the service's.
    pub lasting: f64,
    /// The factor by which it is slower right now than it usually is; 1 outside of slow moments.
    pub now: f64,
}

impl Default for CallSpeed {
    fn default() -> Self {
        CallSpeed { lasting: 1.0, now: 1.0 }
    }
}

/// A `CallAim` is what a server is chosen for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallAim {
    /// The earliest expected answer.
    #[default]
    Earliest,
    /// The least chance of an answer later than this, for a call that may not be sent again.
    InTime(Duration),
}

/// `CallSpeeds` are the own speeds of the servers, and what one of them is chosen for.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallSpeeds<'a> {
    /// The speeds in the order of the servers; missing ones count as usual.
    pub speeds: &'a [CallSpeed],
    /// What the server is chosen for.
    pub aim: CallAim,
}

/// Returns the backend server with the lowest score among servers of equal speed and the expected wait there, or none without
/// servers.
///
/// `call` is the typical duration of a call.
pub fn choose_server(
    servers: &[ServerView],
    call: Duration,
    random: &mut dyn Rng,
) -> Option<(WorkerKey, Duration)> {
    choose_server_by_speed(servers, CallSpeeds::default(), call, random)
}

/// Returns the backend server with the lowest score and the expected wait there, or none without servers.
///
/// `call` is the typical duration of a call at the service.
pub fn choose_server_by_speed(
    servers: &[ServerView],
    speeds: CallSpeeds<'_>,
    call: Duration,
    random: &mut dyn Rng,
) -> Option<(WorkerKey, Duration)> {
    let call_ms = call.as_secs_f64() * 1_000.0;
    let any_closed = servers.iter().any(|server| !server.circuit_open);
    let mut best: Option<(f64, WorkerKey, f64)> = None;
    for (at, server) in servers.iter().enumerate() {
        if server.circuit_open && any_closed {
            continue;
        }
        let speed = speeds.speeds.get(at).copied().unwrap_or_default();
        let own_ms = call_ms * speed.lasting;
        let slots = f64::from(server.slots.max(1));
        let wait = (f64::from(server.calls + 1) - slots).max(0.0) / slots * own_ms;
        let load = f64::from(server.calls) / slots * own_ms;
        let round_trip = server.network_latency.as_secs_f64() * 2_000.0;
        let failure_penalty = server.failure_rate * FAILURE_PENALTY_CALLS * call_ms;
        let slower = own_ms * speed.now - call_ms;
        let late = match speeds.aim {
            CallAim::Earliest => 0.0,
            CallAim::InTime(limit) => {
                let limit_ms = limit.as_secs_f64() * 1_000.0 - round_trip;
                let excess = late_chance(limit_ms - wait, own_ms * speed.now)
                    - late_chance(limit_ms - wait, call_ms);
                excess * LATE_PENALTY_CALLS * call_ms
            }
        };
        let jitter = random.random_range(0.0..JITTER_MS);
        let score = wait + load + round_trip + failure_penalty + slower + late + jitter;
        if best.is_none_or(|(lowest, ..)| score < lowest) {
            best = Some((score, server.key, wait));
        }
    }
    best.map(|(_, key, wait)| (key, bounded_seconds(wait / 1_000.0)))
}

// Returns the chance that a call of a typical duration takes longer than a limit, both in milliseconds. Durations are
// log-logistic, which has the longer tail of servers that pause.
fn late_chance(limit_ms: f64, typical_ms: f64) -> f64 {
    if limit_ms <= 0.0 {
        return 1.0;
    }
    1.0 / (1.0 + (limit_ms / typical_ms.max(f64::MIN_POSITIVE)).powf(LATE_SHAPE))
}
