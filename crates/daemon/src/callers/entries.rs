//! `GET /v1/entries`: which addresses a caller should use.

use bulrushhall_core::entries::{Entry, EntryList};
use bulrushhall_platform::http::Body;
use hyper::Response;

use crate::{
    callers::{ApiError, respond},
    context::Context,
};

/// How long a caller may keep the answer, in milliseconds.
const TIME_TO_LIVE_MS: u64 = 10_000;

/// Lists the addresses that take requests.
pub fn list(cx: &Context) -> Result<Response<Body>, ApiError> {
    let node = &cx.settings.node;
    let own = Entry {
        node: node.name.clone(),
        zone: node.zone.clone(),
        address: node.callers,
        incarnation: cx.incarnation,
        ticket: format!("t-{}", cx.incarnation),
    };
    let entries = if cx.is_leaving() { Vec::new() } else { vec![own] };
    let revision = cx.in_force().revision;
    Ok(respond::json(&EntryList { entries, time_to_live_ms: TIME_TO_LIVE_MS, revision }))
}
