//! The limits of backend servers, as all nodes know them.

use std::time::Duration;

use bulrushhall_core::{Event, NodeName, Stamp};
use bulrushhall_policy::server_limit::ServerLimitOptions;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    backends::{Backend, LimitNote, LimitReport},
    cluster::Members,
    gateway::State,
    meters,
};

/// The age from which a report is not applied: digests are exchanged several times a second.
const MAX_REPORT_AGE: Duration = Duration::from_secs(600);

/// Divides the limits of all backend servers among the nodes; `own` is this node.
pub fn plan_limits(state: &mut State, own: &NodeName) {
    let State { backends, members, .. } = state;
    for (_, backend) in backends.iter_mut() {
        plan_limit(backend, members, own);
    }
}

/// Applies what another node reports of backend servers that are leaving, with their start times.
pub fn receive_leaving(state: &mut State, reports: Vec<(String, Option<u64>)>) {
    for (name, born) in reports {
        // A server that is not known yet, or another incarnation of it; the report is repeated.
        let Some(backend) = state.backends.named_mut(&name) else { continue };
        if backend.record.born == born && backend.announced.note_leaving() {
            log_leaving(&name, "node");
        }
    }
}

/// Applies the statements about limits that another node reports.
pub fn receive_limits(state: &mut State, now: Stamp, own: &NodeName, reports: Vec<LimitReport>) {
    for report in reports {
        let State { backends, members, .. } = &mut *state;
        let is_valid = report.per_second.is_none_or(|rate| rate.is_finite() && 0.0 <= rate);
        let age = Duration::from_millis(report.age_ms);
        if !is_valid || MAX_REPORT_AGE < age {
            meters::digest_ignored("limit");
            continue;
        }
        // A server that is not known yet, or another incarnation of it; the report is repeated.
        let Some(backend) = backends.named_mut(&report.backend) else { continue };
        if backend.record.born != report.born {
            continue;
        }
        let LimitReport { per_second, author, number, .. } = report;
        let note = LimitNote { per_second, at: now - age, author, number };
        if backend.announced.note_limit(now, note) {
            log_limit(&backend.name, per_second, "node");
            plan_limit(backend, members, own);
        }
    }
}

/// Logs a changed limit; `source` is who reported it.
pub fn log_limit(backend: &str, per_second: Option<f64>, source: &'static str) {
    match per_second {
        Some(per_second) => {
            tracing::info!(event = Event::BackendLimited.number(), backend, per_second, source);
        }
        None => {
            tracing::info!(event = Event::BackendLimitLifted.number(), backend, source);
        }
    }
}

/// Logs that a backend server is leaving; `source` is who reported it.
pub fn log_leaving(backend: &str, source: &'static str) {
    tracing::info!(event = Event::BackendSaidLeaving.number(), backend, source);
}

/// Divides the limit of a backend server among the nodes.
pub fn plan_limit(backend: &mut Backend, members: &Members, own: &NodeName) {
    let Some(per_second) = backend.announced.limit() else { return };
    let others = members.iter().map(|(name, _)| node_hash(name));
    let options = ServerLimitOptions::default();
    let part = options.part(per_second, backend.identity, node_hash(own), others);
    backend.announced.set_part(part);
}

fn node_hash(name: &NodeName) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}
