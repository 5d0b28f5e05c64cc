//! What nodes tell each other about crashes of backend servers.

use bulrushhall_core::Incarnation;
use serde::{Deserialize, Serialize};

use super::PartId;

/// A `CrashedRequest` is a request whose answer a backend server broke off when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRequest {
    /// A hash of its id.
    pub request: u64,
    /// The time from its send to the crash, in milliseconds.
    pub age_ms: u64,
    /// The time from the first bytes of its answer to the crash, in milliseconds; none if there were none.
    pub begun_ms: Option<u64>,
    /// The parts of its prompt that other prompts have too.
    pub parts: Vec<PartId>,
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
    /// The requests that it had from the node.
    pub requests: Vec<CrashedRequest>,
}

/// A `SoundReport` is how many answers to prompts with a part one node has seen to their end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundReport {
    /// The node.
    pub author: Incarnation,
    /// The part.
    pub part: PartId,
    /// The number of the latest answers.
    pub answers: u32,
}
