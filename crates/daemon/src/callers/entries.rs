//! `GET /v1/entries`: which addresses a caller should use.

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

/// How long a caller may keep the answer, in milliseconds.
///
/// A caller with an old answer still reaches someone: its addresses lie in two zones, and a zone's
/// worth of nodes that leaves is answered for by the other for longer than this.
const TIME_TO_LIVE_MS: u64 = 10_000;
/// How long a caller may keep an answer without addresses, in milliseconds.
const EMPTY_TIME_TO_LIVE_MS: u64 = 1_000;
/// The headers that tell callers of one address apart.
const CALLER_HEADERS: [&str; 2] = ["x-team", "authorization"];

/// Lists the addresses that take requests.
pub fn list(cx: &Context, parts: &Parts) -> Result<Response<Body>, ApiError> {
    let entries = entries(cx, caller_of(parts));
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
    let ordered = ordered.into_iter().filter_map(|chosen| find(&members, chosen.incarnation));
    ordered.map(entry).collect()
}

fn candidate(member: &Member) -> Candidate {
    Candidate {
        incarnation: member.incarnation,
        zone: member.zone.clone(),
        capacity: member.capacity,
        suspected: member.suspected,
    }
}

fn find(members: &[Member], incarnation: Incarnation) -> Option<&Member> {
    members.iter().find(|member| member.incarnation == incarnation)
}

fn entry(member: &Member) -> EntryPoint {
    EntryPoint {
        node: member.node.clone(),
        zone: member.zone.clone(),
        address: member.callers,
        incarnation: member.incarnation,
        ticket: format!("t-{}", member.incarnation),
    }
}

// The port is left out: it changes with every connection, the caller does not.
fn caller_of(parts: &Parts) -> u64 {
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
