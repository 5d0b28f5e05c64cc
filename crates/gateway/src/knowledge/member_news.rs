//! Changes of the records of nodes, as one node tells them to another.

use bulrushhall_core::NodeName;
use serde::{Deserialize, Serialize};

use crate::knowledge::MemberRecord;

/// `MemberNews` are the changes between two moments of one node's knowledge.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MemberNews {
    /// The number of the last change before these; 0 where all records are told.
    pub after: u64,
    /// The number of the last of them.
    pub at: u64,
    /// The records in the key-value service that are new or have changed.
    pub listed: Vec<(NodeName, MemberRecord)>,
    /// The nodes whose records are not there any more.
    pub unlisted: Vec<NodeName>,
}
