//! The record of prompt parts that are refused.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Confidence, PartId, PartIds};

/// A `BlockState` is whether requests are refused because of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockState {
    /// They are.
    InForce,
    /// They are not any more.
    Lifted,
}

/// A `BlockKind` is what a block refuses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BlockKind {
    /// All requests whose prompts have some parts.
    #[default]
    Parts,
    /// One request, however often it is sent. Nodes of an earlier version take its digest for a part that no prompt has.
    Request,
}

impl BlockKind {
    /// Returns its label in logs and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            BlockKind::Parts => "parts",
            BlockKind::Request => "request",
        }
    }
}

/// The greatest generation, and number of probes, that a record may have: each is counted on by one.
const MAX_COUNT: u32 = 1 << 30;

/// A `Block` refuses requests whose prompts have all of its parts, or one request.
///
/// Nodes and the key-value service keep the record with the highest generation. Odd generations are in force, even ones are
/// lifted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// The parts in ascending order, or the digest of the request.
    pub parts: PartIds,
    /// Which of the two.
    #[serde(default)]
    pub kind: BlockKind,
    /// Whether the evidence for it suffices by itself.
    #[serde(default, skip_serializing_if = "Confidence::is_certain")]
    pub confidence: Confidence,
    /// The number of times that it was put in force or lifted.
    pub generation: u32,
    /// The crashes that it was put in force after.
    pub crashes: u32,
    /// The requests that were let through in this generation to see whether they still crash their servers.
    pub probes: u32,
    /// When it was put in force, in milliseconds since 1970.
    #[serde(rename = "since_ms")]
    pub since_unix_ms: u64,
}

impl Block {
    /// Returns whether nodes may have written it.
    pub fn is_valid(&self) -> bool {
        let are_parts = !self.parts.0.is_empty() && self.parts.0.is_sorted();
        are_parts && self.generation <= MAX_COUNT && self.probes <= MAX_COUNT
    }

    /// Returns whether it is in force.
    pub fn state(&self) -> BlockState {
        if self.generation % 2 == 1 { BlockState::InForce } else { BlockState::Lifted }
    }

    /// Returns whether a prompt with these parts has all of its parts.
    pub fn covers(&self, parts: &[PartId]) -> bool {
        self.parts.0.iter().all(|part| parts.contains(part))
    }

    /// Returns whether it is newer than another record of the same parts.
    pub fn is_after(&self, other: &Block) -> bool {
        (other.generation, other.probes) < (self.generation, self.probes)
    }

    /// Returns its name, which is the end of its key in the key-value service.
    pub fn name(&self) -> String {
        self.parts.to_string()
    }

    /// Returns a number that differs between different records.
    pub fn mark(&self) -> u64 {
        xxh3_64(format!("{} {} {}", self.parts, self.generation, self.probes).as_bytes())
    }
}

impl fmt::Display for Block {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.parts.fmt(f)
    }
}
