//! Which parts of prompts an engine is believed to keep in its cache.

use std::collections::HashMap;

use bulrushhall_core::Stamp;
use serde::{Deserialize, Serialize};

/// A `PromptPart` is a part of a prompt that other prompts may begin with too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// The hash that names the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A `CachedParts` is a node's own record of the parts that one engine read last.
#[derive(Clone, Debug, Default)]
pub struct CachedParts {
    parts: HashMap<u64, Kept>,
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used_at: Stamp,
}

impl CachedParts {
    /// Returns the tokens of the leading parts that are believed to be cached.
    ///
    /// A part is of use only if all parts before it are cached too.
    pub fn cached(&self, parts: &[PromptPart]) -> u32 {
        let leading = parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        leading.map(|part| part.tokens).sum()
    }

    /// Notes that a prompt was sent there; the parts used least lately yield beyond `capacity`.
    pub fn note(&mut self, now: Stamp, parts: &[PromptPart], capacity: u64) {
        for part in parts {
            let kept = Kept { tokens: part.tokens, used_at: now };
            let before = self.parts.insert(part.id, kept);
            self.tokens += u64::from(part.tokens);
            self.tokens -= before.map_or(0, |before| u64::from(before.tokens));
        }
        while capacity < self.tokens {
            let oldest = self.parts.iter().min_by_key(|(id, kept)| (kept.used_at, **id));
            let Some((&id, &kept)) = oldest else { break };
            self.parts.remove(&id);
            self.tokens -= u64::from(kept.tokens);
        }
    }
}
