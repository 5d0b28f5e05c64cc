//! What a node knows of crashes of backend servers.

use std::collections::{BTreeMap, HashMap, HashSet};

use bulrushhall_coord::crashes::{Block, CrashWatch, CrashedRequest, PartIds};
use bulrushhall_core::Stamp;
use bulrushhall_policy::placement::WorkerKey;

use crate::{cluster::as_millis, crashes::UnsettledRequests};

/// An `Interruption` is how an answer was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The server closed the connection.
    Closed,
    /// Nothing more arrives on the connection.
    Stalled,
}

/// An `InterruptedAnswer` is an answer that a server interrupted.
#[derive(Clone, Debug)]
pub struct InterruptedAnswer {
    /// How.
    pub interruption: Interruption,
    /// When.
    pub at: Stamp,
    /// The request, as of this moment.
    pub req: CrashedRequest,
}

impl InterruptedAnswer {
    /// Returns the request as of an earlier moment.
    pub fn request_at(self, at: Stamp) -> CrashedRequest {
        let earlier_ms = as_millis(self.at.since(at));
        let mut req = self.req;
        req.age_ms = req.age_ms.saturating_sub(earlier_ms);
        req.begun_ms = req.begun_ms.map(|begun| begun.saturating_sub(earlier_ms));
        req
    }
}

/// The answers that a server interrupted, until it is known whether it has ended.
#[derive(Debug, Default)]
pub struct InterruptedAnswers {
    /// A hash of the server's name and start time.
    pub server: u64,
    /// The answers.
    pub answers: Vec<InterruptedAnswer>,
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
