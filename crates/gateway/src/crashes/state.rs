//! What a node knows of crashes of backend servers.

use std::collections::{BTreeMap, HashMap, HashSet};

use bulrushhall_coord::crashes::{CrashWatch, CrashedRequest, PartIds};
use bulrushhall_core::Stamp;
use bulrushhall_policy::placement::WorkerKey;

/// `CrashState` is what a node knows of crashes of backend servers.
#[derive(Debug, Default)]
pub struct CrashState {
    /// The prompts whose answers servers broke off, until it is known whether those have ended.
    pub broken: HashMap<WorkerKey, Vec<CrashedRequest>>,
    /// The evidence, and the parts that are refused.
    pub watch: CrashWatch,
    /// The blocks that the key-value service may not have, and when this node writes them.
    pub unstored: BTreeMap<PartIds, Stamp>,
    /// When blocks that are new were learned of.
    pub recent: Vec<(PartIds, Stamp)>,
    /// The blocks for which this node is claiming a probe.
    pub claiming: HashSet<PartIds>,
}
