//! Servers of a version that other nodes know, for streams that began there.

use std::time::Duration;

use bulrushhall_coord::streams::{StreamKey, StreamOrigin};
use bulrushhall_core::Stamp;
use serde::{Deserialize, Serialize};

use crate::{
    adapter::BackendRecord,
    clock,
    cluster::{as_millis, stream_copies::ask_others},
    gateway::{Gateway, State},
    meters,
};

/// The path to which questions for servers are sent.
pub const SERVERS_PATH: &str = "/streams/servers";
/// The maximum number of servers in an answer: a stream needs one.
const MAX_SERVERS: usize = 8;
/// How long after its record says so a server that leaves may get requests.
const LEAVING_KNOWN_WITHIN: Duration = Duration::from_millis(2_000);
/// The age of its list of servers up to which a node answers: the asking node still has to get the answer and send a request.
const MAX_ANSWERED_AGE: Duration = Duration::from_millis(1_600);

/// `FindServers` asks for servers of a version; the reply is [`VersionServers`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindServers {
    /// The service and the version.
    pub origin: StreamOrigin,
}

/// `VersionServers` are the names and records of servers of a version that accept work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionServers {
    /// The servers.
    pub servers: Vec<(String, BackendRecord)>,
    /// The time since the node's list of servers was known to be complete, in milliseconds.
    pub age_ms: u64,
}

/// Returns servers of a version that this node knows.
pub fn known_servers(state: &State, now: Stamp, asked: &FindServers) -> VersionServers {
    let Some(age) = state.records_age(now).filter(|age| *age < MAX_ANSWERED_AGE) else {
        return VersionServers::default();
    };
    let mut servers = Vec::new();
    // What this node has heard from others itself is left out.
    for (_, backend) in state.backends.accepting(&asked.origin.service) {
        if backend.record.version != asked.origin.version {
            continue;
        }
        servers.push((backend.name.to_string(), backend.record.clone()));
        if servers.len() == MAX_SERVERS {
            break;
        }
    }
    // Rounded up, so that no list counts as newer than it is.
    VersionServers { servers, age_ms: as_millis(age) + 1 }
}

/// Returns until when servers are used that were asked for at `asked_at`; a server that leaves gets no requests after it.
pub fn used_until(asked_at: Stamp, known: &VersionServers) -> Stamp {
    asked_at + LEAVING_KNOWN_WITHIN.saturating_sub(Duration::from_millis(known.age_ms))
}

/// Learns from other nodes of servers of the version at which a stream began, if this node knows none.
///
/// Its list of servers is behind while it does not reach the key-value service, and after it stood still.
pub async fn learn_servers(gateway: &Gateway, key: StreamKey, origin: &StreamOrigin) {
    let asked_at = clock::now();
    if gateway.with(|state| has_server(state, asked_at, origin)) {
        return;
    }
    let question = FindServers { origin: origin.clone() };
    let read = |known: VersionServers| (!known.servers.is_empty()).then_some(known);
    let found = ask_others(gateway, key, (SERVERS_PATH, &question), read).await;
    meters::servers_asked(if found.is_some() { "found" } else { "unknown" });
    let Some(known) = found else { return };
    let (now, until) = (clock::now(), used_until(asked_at, &known));
    if until <= now {
        return;
    }
    gateway.with(|state| {
        for (name, record) in known.servers.into_iter().take(MAX_SERVERS) {
            if record.service != origin.service || record.version != origin.version {
                continue;
            }
            state.backends.note_reported(now, until, &name, record);
        }
    });
}

fn has_server(state: &State, now: Stamp, origin: &StreamOrigin) -> bool {
    state.backends.accepting_resumed(now, &origin.service, &origin.version).next().is_some()
}
