//! What backend servers announce in their responses about the requests that they accept.

use std::time::Duration;

use bulrushhall_core::Event;

use crate::{
    adapter::{ResponseHead, Statement},
    backends::{Announced, LimitNote},
    clock,
    gateway::{Gateway, State},
    limits::{log_leaving, log_limit, plan_limit},
    meters,
    pipeline::placement::Placement,
};

/// Notes what the head of a backend server's response announces.
pub fn note_announcements(gateway: &Gateway, placement: &Placement, head: &ResponseHead) {
    count("limit", head.request_limit);
    count("leaving", head.leaving);
    if head.leaving == Statement::Value(true) {
        note_leaving(gateway, placement);
    }
    count("rest", head.rest);
    if let Statement::Value(rest) = head.rest {
        note_rest(gateway, placement, rest);
    }
    // A rejection without a limit may come from a part of the server that does not know it.
    let per_second = match head.request_limit {
        Statement::Value(per_second) => Some(per_second),
        Statement::Absent if head.sealed => None,
        Statement::Absent | Statement::Malformed => return,
    };
    let has_changed = gateway.with(|state| note_limit(gateway, state, placement, per_second));
    if has_changed {
        log_limit(&placement.name, per_second, "response");
    }
}

fn note_leaving(gateway: &Gateway, placement: &Placement) {
    let is_new = gateway.with(|state| {
        let announced = state.backends.announced_mut(placement.key, &placement.name);
        announced.is_some_and(Announced::note_leaving)
    });
    if is_new {
        log_leaving(&placement.name, "response");
    }
}

fn note_rest(gateway: &Gateway, placement: &Placement, rest: Duration) {
    let is_new = gateway.with(|state| {
        let announced = state.backends.announced_mut(placement.key, &placement.name);
        announced.is_some_and(|announced| announced.note_rest(clock::now(), rest))
    });
    if is_new {
        tracing::info!(
            event = Event::BackendResting.number(),
            backend = &*placement.name,
            rest_ms = rest.as_secs_f64() * 1_000.0
        );
    }
}

fn count<T>(kind: &'static str, statement: Statement<T>) {
    match statement {
        Statement::Absent => {}
        Statement::Value(_) => meters::announced(kind),
        Statement::Malformed => meters::announced("malformed"),
    }
}

fn note_limit(
    gateway: &Gateway,
    state: &mut State,
    placement: &Placement,
    per_second: Option<f64>,
) -> bool {
    let now = clock::now();
    state.limit_notes += 1;
    let (author, number) = (gateway.incarnation, state.limit_notes);
    let State { backends, members, .. } = state;
    let Some(announced) = backends.announced_mut(placement.key, &placement.name) else {
        return false;
    };
    let has_changed = announced.note_limit(now, LimitNote { per_second, at: now, author, number });
    if let Some(backend) = backends.get_mut(placement.key).filter(|_| has_changed) {
        plan_limit(backend, members, &gateway.settings.gateway.name);
    }
    has_changed
}
