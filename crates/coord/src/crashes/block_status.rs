//! What operators see of a block.

use serde::{Deserialize, Serialize};

use super::{Block, BlockKind, Confidence};

/// A `BlockStatus` is a block in force, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockStatus {
    /// The ids of the parts, in hexadecimal with commas between them, or the digest of a request.
    pub parts: String,
    /// Which of the two.
    #[serde(default)]
    pub kind: BlockKind,
    /// Whether the evidence for it suffices by itself.
    #[serde(default)]
    pub confidence: Confidence,
    /// The crashes that it was put in force after.
    pub crashes: u32,
    /// The requests that were let through to see whether they still crash their servers.
    pub probes: u32,
    /// When it was put in force, in milliseconds since 1970.
    #[serde(rename = "since_ms")]
    pub since_unix_ms: u64,
}

impl From<&Block> for BlockStatus {
    fn from(block: &Block) -> BlockStatus {
        let Block { kind, confidence, crashes, probes, since_unix_ms, .. } = *block;
        BlockStatus { parts: block.name(), kind, confidence, crashes, probes, since_unix_ms }
    }
}
