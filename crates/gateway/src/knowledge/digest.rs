//! What nodes tell each other.

use bulrushhall_coord::{TeamCounts, Window};
use bulrushhall_core::{Incarnation, NodeName, Revision, ServiceName, TeamName};
use bulrushhall_policy::{observed::EnginePace, parts::PromptPart};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{backends::Load, demand::Offered, knowledge::MemberRecord};

/// A `BackendLoad` is what a node has running at one backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BackendLoad {
    /// The backend server.
    pub backend: String,
    /// The load.
    pub load: Load,
    /// The parts of prompts that were sent there lately.
    pub parts: Vec<PromptPart>,
}

/// A `Digest` is what a node tells others of itself; the newest holds, so it may be lost or come
/// twice.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Digest {
    /// The node.
    pub node: NodeName,
    /// This life of it.
    pub incarnation: Incarnation,
    /// Its record, which the key-value service may lack; nodes of an earlier version do not tell it.
    #[serde(default)]
    pub record: Option<MemberRecord>,
    /// The nodes that it hears and whose records the key-value service lacks.
    #[serde(default)]
    pub unlisted: Vec<(NodeName, MemberRecord)>,
    /// Its time of day as it was at its start, in milliseconds since 1970, gone on by a steady clock.
    pub day_ms: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// The revision that it has in force.
    pub revision: Revision,
    /// How long ago that was known to be the newest, in milliseconds.
    pub config_age_ms: Option<u64>,
    /// For how long it has followed the records of backend servers without a failure, in
    /// milliseconds.
    pub records_steady_ms: Option<u64>,
    /// What each team took there since its start.
    pub quotas: Vec<(TeamName, f64)>,
    /// What each team asks for there in a second; nodes of an earlier version do not tell it.
    #[serde(default)]
    pub asked: Vec<(TeamName, f64)>,
    /// What it has running.
    pub loads: Vec<BackendLoad>,
    /// The requests begun there in each window.
    pub usage: Vec<(Window, TeamCounts)>,
    /// The work that it sends to the engines of each service.
    pub offered: Vec<(ServiceName, Offered)>,
    /// What it has learnt of the engines of each service.
    pub paces: Vec<(ServiceName, EnginePace)>,
}

/// A `Document` is a configuration as it was read, for a node that is behind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Document {
    /// The bytes; empty where none is known.
    pub bytes: Bytes,
}
