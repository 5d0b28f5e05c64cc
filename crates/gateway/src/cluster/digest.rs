//! The messages that nodes exchange.

use bulrushhall_coord::{
    FactBatch, TeamCounts, Window, rollouts::RolloutReport, streams::VersionsReport,
};
use bulrushhall_core::{Era, Incarnation, NodeName, Revision, ServiceName, TeamName};
use bulrushhall_policy::{observed::EngineLatencyModel, parts::PromptPart};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    backends::{BackendUpdates, LimitReport, Load, RANKS, RoomReport},
    brittle::BrittleReport,
    cluster::{MemberRecord, MemberUpdates, WatchReport},
    crashes::CrashDigest,
    demand::Offered,
    retries::EndedRetries,
    rollouts::ReportedCounts,
};

/// A `DigestScope` is the set of nodes that a digest is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DigestScope {
    /// The node that sends it.
    #[default]
    Own,
    /// All nodes of the sender's availability zone, aggregated.
    Zone,
    /// All nodes except the receiver, aggregated.
    Others,
    /// None: the digest holds only the sender's own state, without loads and counts.
    Nothing,
}

/// A `LiveNode` is a node that the sender of an aggregated digest knows to be alive.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(into = "(Incarnation, bool, u16)")]
pub struct LiveNode {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it serves callers.
    pub ready: bool,
    /// The time since its last digest, in milliseconds.
    pub age_ms: u16,
}

impl From<LiveNode> for (Incarnation, bool, u16) {
    fn from(LiveNode { incarnation, ready, age_ms }: LiveNode) -> Self {
        (incarnation, ready, age_ms)
    }
}

/// A `BackendLoad` is the load of nodes at one backend server.
///
/// It is encoded without field names, which would otherwise be repeated for each backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(into = "(String, (u32, [u32; RANKS], u32), Vec<(u64, u32)>)")]
pub struct BackendLoad {
    /// The backend server.
    pub backend: String,
    /// The load.
    pub load: Load,
    /// The prompt parts that were recently sent to it.
    pub parts: Vec<PromptPart>,
}

impl From<BackendLoad> for (String, (u32, [u32; RANKS], u32), Vec<(u64, u32)>) {
    fn from(BackendLoad { backend, load, parts }: BackendLoad) -> Self {
        let parts = parts.into_iter().map(|part| (part.id, part.tokens)).collect();
        (backend, (load.requests, load.waiting, load.held), parts)
    }
}

/// A `Digest` is the state that a node reports of itself and of the nodes that it aggregates. Each digest
/// replaces the one before, so one may be lost or received twice.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub node: NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its record, which the key-value service may lack; nodes of an earlier version do not send it.
    #[serde(default)]
    pub record: Option<MemberRecord>,
    /// The nodes from which it receives digests and whose records the key-value service lacks.
    #[serde(default)]
    pub unlisted: Vec<(NodeName, MemberRecord)>,
    /// Its wall clock at its start, advanced by a monotonic clock, in milliseconds since 1970.
    #[serde(rename = "day_ms")]
    pub wall_clock_ms: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// The revision of its active configuration.
    pub revision: Revision,
    /// The time since that was known to be the newest, in milliseconds.
    pub config_age_ms: Option<u64>,
    /// The time for which it has followed the records of backend servers without a failure, in
    /// milliseconds.
    pub records_steady_ms: Option<u64>,
    /// The era of the key-value service; none for nodes of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<Era>,
    /// The time since the service was restored to that era, in milliseconds, if that was noticed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era_age_ms: Option<u64>,
    /// The proofs of the sender's own watches; nodes of an earlier version do not send them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub watches: Option<WatchReport>,
    /// The nodes that the following values are about; nodes of an earlier version report only themselves.
    #[serde(default, rename = "told")]
    pub scope: DigestScope,
    /// The nodes that the reply is to be about.
    #[serde(default, rename = "wants")]
    pub reply_scope: DigestScope,
    /// The number of nodes that the following values are about.
    #[serde(default = "one")]
    pub nodes: u32,
    /// The nodes that the sender knows to be alive, in an aggregated digest.
    #[serde(default, rename = "heard")]
    pub live_nodes: Vec<LiveNode>,
    /// The quota that each team has used since the start of the nodes.
    pub quotas: Vec<(TeamName, f64)>,
    /// The quota that each team requests per second; nodes of an earlier version do not send it.
    #[serde(default, rename = "asked")]
    pub quota_demands: Vec<(TeamName, f64)>,
    /// The loads of backend servers.
    pub loads: Vec<BackendLoad>,
    /// The requests started in each usage window.
    pub usage: Vec<(Window, TeamCounts)>,
    /// The load offered to the engines of each service.
    pub offered: Vec<(ServiceName, Offered)>,
    /// The newest roll-outs that the sender knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutReport>,
    /// The answers of both versions in the roll-outs that are in progress.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollout_counts: Vec<ReportedCounts>,
    /// The backend servers that have said that they are leaving while their records say that they are ready, and
    /// those whose records changed recently, with their start times.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving_backends: Vec<(String, Option<u64>)>,
    /// The limits of backend servers that the sender knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub backend_limits: Vec<LimitReport>,
    /// The last statements of the servers of brittle services.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub brittle_services: Vec<BrittleReport>,
    /// What nodes have learned of the room at their servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rooms: Vec<RoomReport>,
    /// The services that the sender, and the live nodes of an aggregated digest, have lost their ways to; nodes that
    /// have lost none are left out.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lost_services: Vec<(Incarnation, Vec<ServiceName>)>,
    /// The versions of services that the sender knows; nodes of an earlier version do not send them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<VersionsReport>,
    /// The retries of nodes that have stopped lately.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended_retries: Vec<EndedRetries>,
    /// What the sender knows of crashes of backend servers; nodes of an earlier version do not send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub crashes: Option<CrashDigest>,
    /// The sender's latency models of the engines of each service.
    #[serde(rename = "paces")]
    pub latency_models: Vec<(ServiceName, EngineLatencyModel)>,
    /// The facts of the nodes that the digest is about; nodes of an earlier version do not send them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub facts: Option<FactBatch>,
    /// The position of the sender, a member, in the records that a relay supplies.
    #[serde(default, rename = "records_known")]
    pub record_cursor: Option<RecordCursor>,
    /// The updates of these records, from a relay to a member.
    #[serde(default)]
    pub records: Option<(BackendUpdates, MemberUpdates)>,
}

impl Digest {
    /// Returns a digest that holds nothing but its sender.
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
            era: None,
            era_age_ms: None,
            watches: None,
            scope: DigestScope::Own,
            reply_scope: DigestScope::Own,
            nodes: one(),
            live_nodes: Vec::new(),
            quotas: Vec::new(),
            quota_demands: Vec::new(),
            loads: Vec::new(),
            usage: Vec::new(),
            offered: Vec::new(),
            rollouts: Vec::new(),
            rollout_counts: Vec::new(),
            leaving_backends: Vec::new(),
            backend_limits: Vec::new(),
            brittle_services: Vec::new(),
            rooms: Vec::new(),
            lost_services: Vec::new(),
            versions: None,
            ended_retries: Vec::new(),
            crashes: None,
            latency_models: Vec::new(),
            facts: None,
            record_cursor: None,
            records: None,
        }
    }
}

/// A `RecordCursor` is the position up to which a node has the record changes of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordCursor {
    /// The incarnation of the relay.
    #[serde(rename = "by")]
    pub relay: Incarnation,
    /// The number of the last change of backend servers.
    pub backends: u64,
    /// The number of the last change of nodes.
    pub members: u64,
}

/// A `Document` is an encoded configuration, for a node whose configuration is older.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Document {
    /// The bytes; empty if none is known.
    pub bytes: Bytes,
}

fn one() -> u32 {
    1
}
