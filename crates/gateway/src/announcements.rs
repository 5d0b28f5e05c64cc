//! What backend servers announce in their responses about the requests that they accept, and what other nodes report
//! of it.

use std::time::Duration;

use bulrushhall_core::{Event, NodeName, Stamp};
use bulrushhall_policy::{placement::WorkerKey, server_limit::ServerLimitOptions};

use crate::{
    adapter::{ResponseHead, Statement},
    backends::{Announced, Backend, LimitNote, LimitReport},
    brittle::node_hash,
    clock,
    cluster::Members,
    gateway::{Gateway, State},
    meters,
};

/// The age from which a report is not applied: digests are exchanged several times a second.
const MAX_REPORT_AGE: Duration = Duration::from_secs(600);

/// An `AnnouncementSource` is who told this node of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnnouncementSource {
    Response,
    Node,
}

impl AnnouncementSource {
    fn as_str(self) -> &'static str {
        match self {
            AnnouncementSource::Response => "response",
            AnnouncementSource::Node => "node",
        }
    }
}

/// Notes what the head of a response of a backend server announces; the request was sent at `sent_at` or later.
pub fn note_response(
    gateway: &Gateway,
    (key, name): (WorkerKey, &str),
    sent_at: Stamp,
    head: &ResponseHead,
) {
    count("limit", head.request_limit);
    count("leaving", head.leaving);
    count("rest", head.rest);
    count("brittle", head.brittle);
    let now = clock::now();
    gateway.with(|state| {
        if head.leaving == Statement::Value(true) {
            note_leaving(state, key, name);
        }
        if let Statement::Value(rest) = head.rest {
            note_rest(state, now, key, name, rest);
        }
        match head.request_limit {
            Statement::Value(per_second) => note_limit(gateway, state, key, name, Some(per_second)),
            Statement::Absent if lifts_limit(state, key, name, sent_at, head) => {
                note_limit(gateway, state, key, name, None);
            }
            Statement::Absent | Statement::Malformed => {}
        }
    });
}

/// Applies what another node reports of backend servers that are leaving, with their start times.
pub fn receive_leaving(state: &mut State, reports: Vec<(String, Option<u64>)>) {
    for (name, born) in reports {
        // A server that is not known yet, or another incarnation of it; the report is repeated.
        let Some(backend) = state.backends.named_mut(&name) else { continue };
        if backend.record.born == born && backend.announced.note_leaving() {
            log_leaving(&name, AnnouncementSource::Node);
        }
    }
}

/// Applies what another node reports of the limits of backend servers; `own` is this node.
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
            log_limit(&backend.name, per_second, AnnouncementSource::Node);
            plan_limit(backend, members, own);
        }
    }
}

/// Divides the limits of all backend servers among the nodes; `own` is this node.
pub fn plan_limits(state: &mut State, own: &NodeName) {
    let State { backends, members, .. } = state;
    for (_, backend) in backends.iter_mut() {
        plan_limit(backend, members, own);
    }
}

fn plan_limit(backend: &mut Backend, members: &Members, own: &NodeName) {
    let Some(per_second) = backend.announced.limit() else { return };
    let others = members.iter().map(|(name, _)| node_hash(name));
    let options = ServerLimitOptions::default();
    let part = options.part(per_second, backend.identity, node_hash(own), others);
    backend.announced.set_part(part);
}

fn count<T>(kind: &'static str, statement: Statement<T>) {
    match statement {
        Statement::Absent => {}
        Statement::Value(_) => meters::announced(kind),
        Statement::Malformed => meters::announced("malformed"),
    }
}

fn note_leaving(state: &mut State, key: WorkerKey, name: &str) {
    let announced = state.backends.announced_mut(key, name);
    if announced.is_some_and(Announced::note_leaving) {
        log_leaving(name, AnnouncementSource::Response);
    }
}

fn note_rest(state: &mut State, now: Stamp, key: WorkerKey, name: &str, rest: Duration) {
    let announced = state.backends.announced_mut(key, name);
    if announced.is_some_and(|announced| announced.note_rest(now, rest)) {
        let rest_ms = rest.as_secs_f64() * 1_000.0;
        tracing::info!(event = Event::BackendResting.number(), backend = name, rest_ms);
    }
}

// A response to a request that was sent before the limit was stated may have been made before it too, and a rejection may
// come from a part of the server that does not know the limit.
fn lifts_limit(
    state: &mut State,
    key: WorkerKey,
    name: &str,
    sent_at: Stamp,
    head: &ResponseHead,
) -> bool {
    let stated_at = state.backends.announced_mut(key, name).and_then(|it| it.limit_stated_at());
    head.sealed && stated_at.is_some_and(|stated_at| stated_at < sent_at)
}

fn note_limit(
    gateway: &Gateway,
    state: &mut State,
    key: WorkerKey,
    name: &str,
    per_second: Option<f64>,
) {
    let now = clock::now();
    state.limit_notes += 1;
    let (author, number) = (gateway.incarnation, state.limit_notes);
    let State { backends, members, .. } = state;
    let Some(announced) = backends.announced_mut(key, name) else { return };
    if !announced.note_limit(now, LimitNote { per_second, at: now, author, number }) {
        return;
    }
    log_limit(name, per_second, AnnouncementSource::Response);
    if let Some(backend) = backends.get_mut(key) {
        plan_limit(backend, members, &gateway.settings.gateway.name);
    }
}

fn log_limit(backend: &str, per_second: Option<f64>, source: AnnouncementSource) {
    let source = source.as_str();
    match per_second {
        Some(per_second) => {
            tracing::info!(event = Event::BackendLimited.number(), backend, per_second, source);
        }
        None => {
            tracing::info!(event = Event::BackendLimitLifted.number(), backend, source);
        }
    }
}

fn log_leaving(backend: &str, source: AnnouncementSource) {
    let source = source.as_str();
    tracing::info!(event = Event::BackendSaidLeaving.number(), backend, source);
}
