//! Ids of prompt parts.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// A `PartId` is the hash that identifies a prompt part, or the digest of a whole request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// `PartIds` are several ids, which are written with commas between them.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartIds(pub Vec<PartId>);

impl fmt::Display for PartIds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, part) in self.0.iter().enumerate() {
            let separator = if at == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}

impl FromStr for PartIds {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<PartIds, ParseIntError> {
        let mut parts = Vec::new();
        for part in text.split(',') {
            parts.push(PartId(u64::from_str_radix(part.trim(), 16)?));
        }
        parts.sort_unstable();
        parts.dedup();
        Ok(PartIds(parts))
    }
}
