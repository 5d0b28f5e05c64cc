//! What backend servers state in their responses about the requests that they accept.

use bulrushhall_core::Event;

use crate::{
    adapter::{RequestLimit, ResponseHead},
    gateway::Gateway,
    meters,
    pipeline::placement::Placement,
};

/// Notes what the head of a backend server's response states.
pub fn note_announcements(gateway: &Gateway, placement: &Placement, head: &ResponseHead) {
    let limit = match head.request_limit {
        RequestLimit::PerSecond(per_second) => {
            meters::announced("limit");
            Some(per_second)
        }
        RequestLimit::Unlimited => None,
        RequestLimit::Malformed => {
            meters::announced("malformed");
            return;
        }
    };
    let before = gateway.with(|state| {
        let backend = state.backends.get_mut(placement.key)?;
        Some(std::mem::replace(&mut backend.request_limit, limit))
    });
    let Some(before) = before.filter(|before| *before != limit) else { return };
    let backend = &*placement.name;
    match limit {
        Some(per_second) => {
            tracing::info!(event = Event::BackendLimited.number(), backend, per_second, before)
        }
        None => tracing::info!(event = Event::BackendLimitLifted.number(), backend, before),
    }
}
