//! Changes of the records of backend servers, as one node tells them to another.

use serde::{Deserialize, Serialize};

use crate::border::BackendRecord;

/// `RecordNews` are the changes between two moments of one node's knowledge.
///
/// Each node that follows the records in the key-value service itself costs calls there for each change.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RecordNews {
    /// The number of the last change before these; 0 where all records are told.
    pub after: u64,
    /// The number of the last of them.
    pub at: u64,
    /// The records that are new or have changed, by the names of their servers.
    pub records: Vec<(String, BackendRecord)>,
    /// The servers that are gone.
    pub gone: Vec<String>,
}
