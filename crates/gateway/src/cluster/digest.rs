//! What nodes tell each other.

use bulrushhall_coord::{TeamCounts, Window};
use bulrushhall_core::{Incarnation, NodeName, Revision, ServiceName, TeamName};
use bulrushhall_policy::{observed::EngineLatencyModel, parts::PromptPart};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    backends::{Load, RANKS, RecordNews},
    cluster::{MemberNews, MemberRecord},
    demand::Offered,
};

/// `DigestScope` says which nodes a message is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DigestScope {
    /// The node that sends it.
    #[default]
    Own,
    /// All nodes of its availability zone, summed up.
    Zone,
    /// All nodes but the one that gets it, summed up.
    Others,
    /// None: it tells of the sender's state alone.
    Nothing,
}

/// A `HeardLife` is a node that a relay hears.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(into = "(Incarnation, bool, u16)")]
pub struct HeardLife {
    /// This life of it.
    pub life: Incarnation,
    /// Whether it serves callers.
    pub ready: bool,
    /// How long ago it was heard, in milliseconds.
    pub age_ms: u16,
}

impl From<HeardLife> for (Incarnation, bool, u16) {
    fn from(HeardLife { life, ready, age_ms }: HeardLife) -> Self {
        (life, ready, age_ms)
    }
}

/// A `BackendLoad` is what nodes have running at one backend server.
///
/// It is written without names, of which there would be one for each value and backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(into = "(String, (u32, [u32; RANKS], u32), Vec<(u64, u32)>)")]
pub struct BackendLoad {
    /// The backend server.
    pub backend: String,
    /// The load.
    pub load: Load,
    /// The parts of prompts that were sent there lately.
    pub parts: Vec<PromptPart>,
}

impl From<BackendLoad> for (String, (u32, [u32; RANKS], u32), Vec<(u64, u32)>) {
    fn from(BackendLoad { backend, load, parts }: BackendLoad) -> Self {
        let parts = parts.into_iter().map(|part| (part.id, part.tokens)).collect();
        (backend, (load.requests, load.waiting, load.held), parts)
    }
}

/// A `Digest` is what a node tells others of itself and of those that it sums up; the newest holds, so it
/// may be lost or come twice.
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
    #[serde(rename = "day_ms")]
    pub wall_clock_ms: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// The revision that it has in force.
    pub revision: Revision,
    /// How long ago that was known to be the newest, in milliseconds.
    pub config_age_ms: Option<u64>,
    /// For how long it has followed the records of backend servers without a failure, in
    /// milliseconds.
    pub records_steady_ms: Option<u64>,
    /// Which nodes the following values are about; nodes of an earlier version tell of themselves.
    #[serde(default, rename = "told")]
    pub scope: DigestScope,
    /// Which nodes the answer shall be about.
    #[serde(default, rename = "wants")]
    pub reply_scope: DigestScope,
    /// The number of nodes that the following values are about.
    #[serde(default = "one")]
    pub nodes: u32,
    /// The nodes that the sender hears, where it sums up.
    #[serde(default)]
    pub heard: Vec<HeardLife>,
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
    pub paces: Vec<(ServiceName, EngineLatencyModel)>,
    /// Where the sender, as a member, stands with the records of backend servers and nodes.
    #[serde(default)]
    pub records_known: Option<RecordsKnown>,
    /// The changes of these records, from a relay to a member.
    #[serde(default)]
    pub records: Option<(RecordNews, MemberNews)>,
}

impl Digest {
    /// Returns a message that tells no more than who sends it.
    pub fn new(node: NodeName, incarnation: Incarnation) -> Digest {
        Digest {
            node,
            incarnation,
            record: None,
            unlisted: Vec::new(),
            wall_clock_ms: 0,
            ready: false,
            revision: Revision(0),
            config_age_ms: None,
            records_steady_ms: None,
            scope: DigestScope::Own,
            reply_scope: DigestScope::Own,
            nodes: one(),
            heard: Vec::new(),
            quotas: Vec::new(),
            asked: Vec::new(),
            loads: Vec::new(),
            usage: Vec::new(),
            offered: Vec::new(),
            paces: Vec::new(),
            records_known: None,
            records: None,
        }
    }
}

/// `RecordsKnown` tell up to which changes a node has the records of backend servers and nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsKnown {
    /// The life that told them.
    pub by: Incarnation,
    /// The number of the change of backend servers there.
    pub backends: u64,
    /// The number of the change of nodes there.
    pub members: u64,
}

/// A `Document` is a configuration as it was read, for a node that is behind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Document {
    /// The bytes; empty where none is known.
    pub bytes: Bytes,
}

fn one() -> u32 {
    1
}
