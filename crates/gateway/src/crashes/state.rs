//! What a node knows of crashes of backend servers.

use std::collections::{BTreeMap, HashMap, HashSet};

use bulrushhall_coord::crashes::{Block, CrashWatch, CrashedRequest, PartIds};
use bulrushhall_core::Stamp;
use bulrushhall_policy::placement::WorkerKey;

use crate::crashes::UnsettledRequests;

/// An `Interruption` is how an answer was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The server closed the connection.
    Closed,
    /// Nothing more arrives on the connection.
    Stalled,
}

/// The answers that a server interrupted, until it is known whether it has ended.
#[derive(Debug, Default)]
pub struct InterruptedAnswers {
    /// A hash of the server's name and start time.
    pub server: u64,
    /// The requests.
    pub requests: Vec<(Interruption, CrashedRequest)>,
}

/// `CrashState` is what a node knows of crashes of backend servers.
#[derive(Debug, Default)]
pub struct CrashState {
    /// The requests whose answers servers interrupted, until it is known whether those have ended.
    pub interrupted: HashMap<WorkerKey, InterruptedAnswers>,
    /// When servers that interrupted answers were found to accept connections.
    pub serving: HashMap<WorkerKey, Stamp>,
    /// The requests whose answers nobody waits for.
    pub unsettled: UnsettledRequests,
    /// The evidence, and the parts that are refused.
    pub watch: CrashWatch,
    /// The blocks that the key-value service may not have, and when this node writes them.
    pub unstored: BTreeMap<PartIds, Stamp>,
    /// When blocks that are new were learned of.
    pub recent: Vec<(PartIds, Stamp)>,
    /// The blocks for which this node is claiming a probe.
    pub claiming: HashSet<PartIds>,
    /// The probes that this node has claimed and not sent.
    pub unused_claims: HashMap<PartIds, Block>,
}
