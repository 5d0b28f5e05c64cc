//! What backend servers announce in their responses about the requests that they accept.

use crate::{
    adapter::{RequestLimit, ResponseHead},
    backends::LimitNote,
    clock,
    gateway::{Gateway, State},
    limits::{log_limit, plan_limit},
    meters,
    pipeline::placement::Placement,
};

/// Notes what the head of a backend server's response announces.
pub fn note_announcements(gateway: &Gateway, placement: &Placement, head: &ResponseHead) {
    let per_second = match head.request_limit {
        RequestLimit::PerSecond(per_second) => {
            meters::announced("limit");
            Some(per_second)
        }
        // A rejection may come from a part of the server that does not know its limit.
        RequestLimit::Unlimited if !head.sealed => return,
        RequestLimit::Unlimited => None,
        RequestLimit::Malformed => {
            meters::announced("malformed");
            return;
        }
    };
    let has_changed = gateway.with(|state| note_limit(gateway, state, placement, per_second));
    if has_changed {
        log_limit(&placement.name, per_second, "response");
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
