//! The software versions at which streams began, as this node knows them.

use std::{collections::BTreeSet, time::Duration};

use bulrushhall_coord::{
    Pauses,
    streams::{ServiceVersions, StreamCopies, StreamKey, StreamOrigins, VersionConfirmations},
};
use bulrushhall_core::{ServiceName, Stamp, config::RouteConfig};

use crate::{
    clock,
    gateway::{Gateway, State},
    pipeline::{Binding, IdentifiedRequest},
};

/// The time for which a stream may be resumed, as a multiple of its route's timeout: a caller tries a few times.
const LIFETIME_FACTOR: u32 = 3;
/// The gossip rounds between two reports of versions that all nodes know.
const REPORT_INTERVAL: u64 = 4;

/// `StreamState` is what a node knows of the streams of all nodes.
#[derive(Debug, Default)]
pub struct StreamState {
    /// The origins of streams that this node began or holds copies of.
    pub origins: StreamOrigins,
    /// The origins that it still has to copy to other nodes.
    pub copies: StreamCopies,
    /// The versions of each service that nodes have seen.
    pub versions: ServiceVersions,
    /// Which nodes know them.
    pub confirmations: VersionConfirmations,
    /// When this node stood still.
    pub pauses: Pauses,
    /// When other nodes that may be dead were last asked and none answered.
    pub unanswered_at: Option<Stamp>,
}

impl StreamState {
    /// Returns what a node knows that starts when the whole system starts for the first time.
    pub fn at_first_start() -> StreamState {
        let versions = ServiceVersions::at_first_start();
        StreamState { versions, ..StreamState::default() }
    }

    /// Returns whether the versions are reported in a gossip round.
    pub fn reports_versions(&self, now: Stamp, round: u64) -> bool {
        round.is_multiple_of(REPORT_INTERVAL) || self.versions.has_unsettled(now)
    }
}

/// Returns the time for which a stream of a route may be resumed.
pub fn lifetime(route: &RouteConfig) -> Duration {
    Duration::from(route.timeout) * LIFETIME_FACTOR
}

/// Returns the key of an attempt of the team that sends a request.
pub fn stream_key(req: &IdentifiedRequest, attempt: &str) -> StreamKey {
    StreamKey::new(req.team.as_ref().map(|team| &team.name), attempt)
}

/// Notes the first event of a stream that is passed on in the response to a request.
pub fn note_first_event(gateway: &Gateway, req: &IdentifiedRequest, binding: &Binding) {
    let now = clock::now();
    let lifetime = lifetime(&req.route.cfg);
    let origin = binding.origin();
    // A caller names the first of its attempts that brought events.
    let attempts = [Some(req.call.id.as_str()), req.call.resumes.as_deref()];
    gateway.with(|state| {
        let StreamState { origins, copies, versions, .. } = &mut state.streams;
        for attempt in attempts.into_iter().flatten() {
            let key = stream_key(req, attempt);
            origins.note(now, lifetime, key, origin);
            copies.push(key);
        }
        if let Some(origin) = origin {
            versions.note(now, &origin.service, &origin.version);
        }
    });
    gateway.copies_due.notify_one();
}

/// Notes the versions of the servers that are known.
pub fn note_versions(state: &mut State, now: Stamp) {
    let records = state.backends.iter().map(|(_, backend)| &backend.record);
    let known: BTreeSet<(&ServiceName, &str)> =
        records.map(|record| (&record.service, record.version.as_str())).collect();
    for (service, version) in known {
        state.streams.versions.note(now, service, version);
    }
}

/// Returns how long a version gets no new streams although no settled one serves: until all other nodes know it, or are
/// out of touch.
pub fn held_for(
    state: &State,
    now: Stamp,
    service: &ServiceName,
    version: &str,
) -> Option<Duration> {
    let StreamState { versions, confirmations, .. } = &state.streams;
    let left = versions.held_for(now, service, version)?;
    let others = state.members.iter().map(|(_, member)| member.record.incarnation);
    (!confirmations.all_know(now, service, version, others)).then_some(left)
}

/// Notes whether this node stood still until now. What it has received since shows nothing of the time before.
pub fn note_active(state: &mut State, now: Stamp) {
    if state.streams.pauses.note_active(now) {
        state.streams.versions.note_out_of_touch(now);
    }
}

/// Notes whether this node is out of touch with another one, which may know versions that it does not know.
pub fn note_touch(state: &mut State, now: Stamp) {
    note_active(state, now);
    if state.members.live_count(now) + 1 < state.members.count() {
        state.streams.versions.note_out_of_touch(now);
    }
}
