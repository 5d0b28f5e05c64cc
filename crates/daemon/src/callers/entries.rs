//! `GET /v1/entries`: the node addresses that a caller should use.

use std::net::SocketAddr;

use bulrushhall_coord::{
    Candidate,
    entries::{MAX_ADDRESSES, order},
};
use bulrushhall_core::{
    Incarnation,
    entries::{EntryList, EntryPoint},
};
use bulrushhall_external::http::Body;
use hyper::{Response, http::request::Parts};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    callers::{ApiError, respond},
    context::Context,
    members::Member,
};

/// How long a caller may cache the list, in milliseconds.
///
/// A caller with an outdated list still reaches a node: its addresses lie in two zones, and when
/// the nodes of one zone leave, those of the other keep serving for longer than this.
const TIME_TO_LIVE_MS: u64 = 10_000;
/// How long a caller may cache an empty list, in milliseconds.
const EMPTY_TIME_TO_LIVE_MS: u64 = 1_000;
/// The headers that distinguish callers with the same IP address.
const CALLER_HEADERS: [&str; 2] = ["x-team", "authorization"];

/// Lists the addresses of nodes that accept requests.
pub fn list(cx: &Context, parts: &Parts) -> Result<Response<Body>, ApiError> {
    let entries = entries(cx, caller_hash(parts));
    let time_to_live_ms = if entries.is_empty() { EMPTY_TIME_TO_LIVE_MS } else { TIME_TO_LIVE_MS };
    let revision = cx.in_force().revision;
    Ok(respond::json(&EntryList { entries, time_to_live_ms, revision }))
}

/// Returns the addresses for one caller, best first.
fn entries(cx: &Context, caller: u64) -> Vec<EntryPoint> {
    if cx.is_isolated() {
        return Vec::new();
    }
    let mut members = cx.members.current().to_vec();
    members.push(cx.own_member());
    members.retain(|member| !member.leaving);
    let candidates: Vec<Candidate> = members.iter().map(candidate).collect();
    let ordered = order(caller, &candidates, MAX_ADDRESSES);
    let ordered =
        ordered.into_iter().filter_map(|chosen| find_member(&members, chosen.incarnation));
    ordered.map(entry_point).collect()
}

fn candidate(member: &Member) -> Candidate {
    Candidate {
        incarnation: member.incarnation,
        zone: member.zone.clone(),
        capacity: member.capacity,
        suspected: member.suspected,
    }
}

fn find_member(members: &[Member], incarnation: Incarnation) -> Option<&Member> {
    members.iter().find(|member| member.incarnation == incarnation)
}

fn entry_point(member: &Member) -> EntryPoint {
    EntryPoint {
        node: member.node.clone(),
        zone: member.zone.clone(),
        address: member.callers,
        incarnation: member.incarnation,
        ticket: format!("t-{}", member.incarnation),
    }
}

// The port is left out, since it differs between connections of the same caller.
fn caller_hash(parts: &Parts) -> u64 {
    let mut hasher = Xxh3::new();
    if let Some(remote) = parts.extensions.get::<SocketAddr>() {
        hasher.update(remote.ip().to_string().as_bytes());
    }
    for name in CALLER_HEADERS {
        if let Some(value) = parts.headers.get(name) {
            hasher.update(value.as_bytes());
        }
    }
    hasher.digest()
}
