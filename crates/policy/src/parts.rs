//! An estimate of the prompt parts in the prefix cache of an engine.

use std::collections::{BTreeSet, HashMap};

use bulrushhall_core::Stamp;
use serde::{Deserialize, Serialize};

/// A `PromptPart` is a section of a prompt that several prompts may share as part of a common
/// prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// The hash that identifies the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// `CachedParts` are a node's estimate of the prompt parts in the prefix cache of one engine, with
/// LRU eviction.
#[derive(Clone, Debug, Default)]
pub struct CachedParts {
    parts: HashMap<u64, CachedPart>,
    /// The parts by their last use.
    by_use: BTreeSet<(Stamp, u64)>,
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    used_at: Stamp,
}

impl CachedParts {
    /// Returns the tokens of the leading parts that are probably cached.
    ///
    /// A part can be reused only if all parts before it are cached too.
    pub fn cached(&self, parts: &[PromptPart]) -> u32 {
        let leading = parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        leading.map(|part| part.tokens).sum()
    }

    /// Records that a prompt was sent to the engine; beyond `capacity` tokens, the least recently
    /// used parts are evicted.
    pub fn note(&mut self, now: Stamp, parts: &[PromptPart], capacity: u64) {
        for part in parts {
            let cached = CachedPart { tokens: part.tokens, used_at: now };
            let replaced = self.parts.insert(part.id, cached);
            self.tokens += u64::from(part.tokens);
            if let Some(replaced) = replaced {
                self.by_use.remove(&(replaced.used_at, part.id));
                self.tokens -= u64::from(replaced.tokens);
            }
            self.by_use.insert((now, part.id));
        }
        while capacity < self.tokens {
            let Some((_, id)) = self.by_use.pop_first() else { break };
            let removed = self.parts.remove(&id);
            self.tokens -= removed.map_or(0, |removed| u64::from(removed.tokens));
        }
    }
}
