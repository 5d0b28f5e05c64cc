//! Servers of a version that other nodes know, for streams that began there.

use bulrushhall_coord::streams::{StreamKey, StreamOrigin};
use serde::{Deserialize, Serialize};

use crate::{
    adapter::BackendRecord,
    clock,
    cluster::stream_copies::ask_others,
    gateway::{Gateway, State},
    meters,
};

/// The path to which questions for servers are sent.
pub const SERVERS_PATH: &str = "/streams/servers";
/// The maximum number of servers in an answer: a stream needs one.
const MAX_SERVERS: usize = 8;

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
}

/// Returns servers of a version that this node knows.
pub fn known_servers(gateway: &Gateway, asked: &FindServers) -> VersionServers {
    let servers = gateway.with(|state| {
        let mut servers = Vec::new();
        for (_, backend) in state.backends.accepting(&asked.origin.service) {
            // What this node has heard from others itself may be old.
            if backend.record.version != asked.origin.version || backend.reported_until.is_some() {
                continue;
            }
            servers.push((backend.name.to_string(), backend.record.clone()));
            if servers.len() == MAX_SERVERS {
                break;
            }
        }
        servers
    });
    VersionServers { servers }
}

/// Learns from other nodes of servers of the version at which a stream began, if this node knows none.
///
/// Its list of servers is behind while it does not reach the key-value service, and after it stood still.
pub async fn learn_servers(gateway: &Gateway, key: StreamKey, origin: &StreamOrigin) {
    if gateway.with(|state| has_server(state, origin)) {
        return;
    }
    let question = FindServers { origin: origin.clone() };
    let read = |known: VersionServers| (!known.servers.is_empty()).then_some(known.servers);
    let found = ask_others(gateway, key, (SERVERS_PATH, &question), read).await;
    meters::servers_asked(if found.is_some() { "found" } else { "unknown" });
    let now = clock::now();
    gateway.with(|state| {
        for (name, record) in found.unwrap_or_default().into_iter().take(MAX_SERVERS) {
            if record.service != origin.service || record.version != origin.version {
                continue;
            }
            state.backends.note_reported(now, &name, record);
        }
    });
}

fn has_server(state: &State, origin: &StreamOrigin) -> bool {
    let mut accepting = state.backends.accepting(&origin.service);
    accepting.any(|(_, backend)| backend.record.version == origin.version)
}
