//! Services whose servers say that they are brittle: the statements, the room at the servers, and what other nodes report of
//! both.

use std::{collections::HashMap, time::Duration};

use bulrushhall_core::{Event, Incarnation, NodeName, ServiceName, Stamp};
use bulrushhall_policy::{
    placement::WorkerKey,
    server_room::{RoomNote, RoomRank},
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    adapter::{ResponseHead, Statement},
    backends::{AuthoredRoom, Backend, Brittleness, RoomReport},
    clock,
    cluster::Members,
    gateway::{Gateway, State},
    meters,
};

/// How long a change is reported in each digest: several may be lost.
const CHANGE_REPORTED_FOR: Duration = Duration::from_secs(2);
/// The gossip rounds between two later reports of what is in force.
const REPORT_INTERVAL: u64 = 32;
/// The age from which a report is not applied.
const MAX_REPORT_AGE: Duration = Duration::from_secs(600);

/// A `BrittleReport` is the last statement of a service's servers, for other nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BrittleReport {
    /// The service.
    pub service: ServiceName,
    /// The requests that a server may turn away in a second; none if the servers are not brittle any more.
    pub tolerance: Option<u32>,
    /// The time since they said so, in milliseconds.
    pub age_ms: u64,
    /// The node that received the response.
    pub author: Incarnation,
    /// The number of the statement among those of the node.
    pub number: u64,
}

#[derive(Clone, Copy, Debug)]
struct Note {
    tolerance: Option<u32>,
    /// When the servers last said so.
    at: Stamp,
    /// When this node learned of the last change.
    changed_at: Stamp,
    author: Incarnation,
    number: u64,
}

impl Note {
    // The ages in gossip lack the transfer times, so notes of one node are ordered by their numbers.
    fn is_after(&self, other: &Note) -> bool {
        if self.author == other.author { other.number < self.number } else { other.at < self.at }
    }
}

/// `BrittleServices` are the services whose servers have said that they are brittle.
#[derive(Debug, Default)]
pub struct BrittleServices {
    notes: HashMap<ServiceName, Note>,
    /// The number of notes that this node has made.
    written: u64,
}

impl BrittleServices {
    /// Returns what the servers of a service say; none if they are not brittle.
    pub fn get(&self, service: &ServiceName) -> Option<Brittleness> {
        let note = self.notes.get(service)?;
        Some(Brittleness { tolerance: note.tolerance?, since: note.changed_at })
    }

    /// Returns the statements that are reported in a gossip round.
    pub fn reports(&self, now: Stamp, round: u64) -> Vec<BrittleReport> {
        let mut reports = Vec::new();
        for (service, note) in &self.notes {
            let is_new = now.since(note.changed_at) < CHANGE_REPORTED_FOR;
            let is_due = note.tolerance.is_some() && round.is_multiple_of(REPORT_INTERVAL);
            if is_new || is_due {
                reports.push(BrittleReport {
                    service: service.clone(),
                    tolerance: note.tolerance,
                    age_ms: millis(now.since(note.at)),
                    author: note.author,
                    number: note.number,
                });
            }
        }
        reports
    }

    fn next_number(&mut self) -> u64 {
        self.written += 1;
        self.written
    }

    // Returns whether what the servers say has changed.
    fn note(&mut self, service: &ServiceName, note: Note) -> bool {
        let known = self.notes.get(service);
        let before = known.and_then(|known| known.tolerance);
        if known.is_some_and(|known| !note.is_after(known)) {
            return false;
        }
        let has_changed = before != note.tolerance;
        let changed_at = known.filter(|_| !has_changed).map(|known| known.changed_at);
        let note = Note { changed_at: changed_at.unwrap_or(note.changed_at), ..note };
        self.notes.insert(service.clone(), note);
        has_changed
    }
}

/// Notes what a response of a backend server says of its service, and whether it rejects the request for want of
/// room; the request was sent at `sent_at` over a connection of this node.
pub fn note_response(gateway: &Gateway, key: WorkerKey, sent_at: Stamp, head: &ResponseHead) {
    let now = clock::now();
    gateway.with(|state| {
        let Some(backend) = state.backends.get(key) else { return };
        let service = backend.record.service.clone();
        let known = state.brittle.notes.get(&service);
        let tolerance = match head.brittle {
            Statement::Value(tolerance) => Some(tolerance),
            // A response that was made before the statement says nothing of later.
            Statement::Absent if head.sealed && known.is_some_and(|it| it.at < sent_at) => None,
            Statement::Absent | Statement::Malformed => return,
        };
        let author = gateway.incarnation;
        if known.is_some() || tolerance.is_some() {
            let number = state.brittle.next_number();
            let note = Note { tolerance, at: now, changed_at: now, author, number };
            apply(state, &gateway.settings.gateway.name, &service, note, "response");
        }
        let is_rejection = head.not_run && head.status.is_server_error();
        if let (true, Some(brittleness)) = (is_rejection, state.brittle.get(&service)) {
            note_rejection(state, key, (sent_at, now), brittleness, author);
        }
    });
}

fn note_rejection(
    state: &mut State,
    key: WorkerKey,
    times: (Stamp, Stamp),
    brittleness: Brittleness,
    author: Incarnation,
) {
    let number = state.brittle.next_number();
    let Some(backend) = state.backends.get_mut(key) else { return };
    let slots = backend.record.slots;
    if !backend.room.note_rejection(times, brittleness, slots, (author, number)) {
        return;
    }
    let room = backend.room.room(times.1, brittleness, slots);
    tracing::info!(event = Event::RoomLowered.number(), backend = &*backend.name, room);
}

fn apply(
    state: &mut State,
    own: &NodeName,
    service: &ServiceName,
    note: Note,
    source: &'static str,
) {
    if !state.brittle.note(service, note) {
        return;
    }
    let service_name = service.as_str();
    let State { backends, members, .. } = state;
    let servers = backends.iter_mut().filter(|(_, backend)| backend.record.service == *service);
    match note.tolerance {
        Some(tolerance) => {
            let event = Event::ServiceBrittle.number();
            tracing::info!(event, service = service_name, tolerance, source);
            servers.for_each(|(_, backend)| plan_room(backend, members, own));
        }
        None => {
            tracing::info!(event = Event::ServiceSound.number(), service = service_name, source);
            servers.for_each(|(_, backend)| backend.room.forget());
        }
    }
}

/// Applies what another node reports of brittle services and of the room at their servers; `own` is this node.
pub fn receive(
    state: &mut State,
    now: Stamp,
    own: &NodeName,
    services: Vec<BrittleReport>,
    rooms: Vec<RoomReport>,
) {
    for BrittleReport { service, tolerance, age_ms, author, number } in services {
        let age = Duration::from_millis(age_ms);
        if MAX_REPORT_AGE < age {
            meters::digest_ignored("brittle");
            continue;
        }
        let note = Note { tolerance, at: now - age, changed_at: now, author, number };
        apply(state, own, &service, note, "node");
    }
    for report in rooms {
        let age = Duration::from_millis(report.age_ms);
        if !report.is_valid() || MAX_REPORT_AGE < age {
            meters::digest_ignored("room");
            continue;
        }
        let Some(backend) = state.backends.named_mut(&report.backend) else { continue };
        if backend.record.born != report.born {
            continue;
        }
        let RoomReport { base, per_second, ceiling, author, number, .. } = report;
        let note = RoomNote { base, per_second, ceiling, at: now - age };
        backend.room.receive(now, AuthoredRoom { note, author, number });
    }
}

/// Returns what is reported of the room at servers in a gossip round.
pub fn room_reports(state: &State, now: Stamp) -> Vec<RoomReport> {
    let mut reports = Vec::new();
    for (_, backend) in state.backends.iter() {
        let Some((learned, at)) = backend.room.learned() else { continue };
        let has_turn = backend.identity % REPORT_INTERVAL == state.gossip_rounds % REPORT_INTERVAL;
        if !has_turn && CHANGE_REPORTED_FOR <= now.since(at) {
            continue;
        }
        let AuthoredRoom { note, author, number } = learned;
        reports.push(RoomReport {
            backend: backend.name.to_string(),
            born: backend.record.born,
            base: note.base,
            per_second: note.per_second,
            ceiling: note.ceiling,
            age_ms: millis(now.since(note.at)),
            author,
            number,
        });
    }
    reports
}

/// Divides the room at the servers of brittle services among the nodes; `own` is this node.
pub fn plan_rooms(state: &mut State, own: &NodeName) {
    let State { backends, members, brittle, .. } = state;
    if brittle.notes.values().all(|note| note.tolerance.is_none()) {
        return;
    }
    for (_, backend) in backends.iter_mut() {
        if brittle.get(&backend.record.service).is_some() {
            plan_room(backend, members, own);
        }
    }
}

// A node that has lost its way to the service can't use a part: other nodes carry its requests in theirs.
fn plan_room(backend: &mut Backend, members: &Members, own: &NodeName) {
    let service = &backend.record.service;
    let others = members.iter().filter(|(_, member)| !member.lost_services.contains(service));
    let others = others.map(|(name, _)| node_hash(name));
    backend.room.set_rank(RoomRank::of(backend.identity, node_hash(own), others));
}

/// Returns the hash of a node by which limits of servers and the room there are divided.
pub fn node_hash(name: &NodeName) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
