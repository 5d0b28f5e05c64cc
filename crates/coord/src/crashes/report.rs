//! What nodes tell each other about crashes of backend servers.

use bulrushhall_core::{Incarnation, Stamp};
use serde::{Deserialize, Serialize};

use super::PartId;

/// An answer that began less than this before a crash is more likely its cause than requests that had not begun to be answered.
const JUST_BEGUN_MS: u64 = 100;

/// A `CrashedRequest` is a request whose answer a backend server broke off when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRequest {
    /// A hash of its id.
    pub request: u64,
    /// The time from its send to the crash, in milliseconds.
    pub age_ms: u64,
    /// The time from the first bytes of its answer to the crash, in milliseconds; none if there were none.
    pub begun_ms: Option<u64>,
    /// The parts of its prompt that may have crashed the server.
    pub parts: Vec<PartId>,
    /// The digest of the whole request; none if it can't have crashed the server, or from a node of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<PartId>,
}

impl CrashedRequest {
    /// Returns the ids of all that may have crashed the server: the parts, and the whole request.
    pub fn ids(&self) -> Vec<PartId> {
        self.parts.iter().copied().chain(self.digest).collect()
    }

    /// Returns the hash that tells it from other requests.
    pub fn identity(&self) -> u64 {
        self.digest.map_or(self.request, |digest| digest.0)
    }

    /// Returns whether its answer had begun immediately before the crash.
    pub fn had_just_begun(&self) -> bool {
        self.begun_ms.is_some_and(|begun| begun < JUST_BEGUN_MS)
    }

    /// Returns a number that is lowest for the request whose answer had begun last before the crash.
    pub fn closeness(&self) -> u64 {
        self.begun_ms.unwrap_or(u64::MAX)
    }
}

/// A `ServerEnd` is whether a backend server that broke off answers has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerEnd {
    /// It has: it refuses connections, or its record says so. Nodes of an earlier version report such servers only.
    #[default]
    Seen,
    /// It is not known.
    Unknown,
}

/// A `CrashedServer` is a backend server that broke off answers.
#[derive(Clone, Copy, Debug)]
pub struct CrashedServer {
    /// A hash of its name and start time.
    pub server: u64,
    /// Whether it has ended.
    pub end: ServerEnd,
    /// When it broke them off.
    pub at: Stamp,
}

/// A `CrashReport` is what one node saw of the crash of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The node.
    pub author: Incarnation,
    /// The number of the report among those of the node.
    pub number: u32,
    /// The time since the crash, in milliseconds.
    pub age_ms: u64,
    /// A hash of the server's name and start time.
    pub server: u64,
    /// Whether it has ended.
    #[serde(default)]
    pub end: ServerEnd,
    /// The requests that it had from the node.
    pub requests: Vec<CrashedRequest>,
}

impl CrashReport {
    /// Returns whether the server had a request with a part, or the request with this digest.
    pub fn concerns(&self, id: PartId) -> bool {
        self.requests.iter().any(|req| req.parts.contains(&id) || req.digest == Some(id))
    }
}

/// A `SoundReport` is the latest answer to a prompt with a part that one node has seen to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundReport {
    /// The node.
    pub author: Incarnation,
    /// The part.
    pub part: PartId,
    /// The number of such answers, of which nodes of an earlier version go by.
    pub answers: u32,
    /// The time since the answer began, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}
