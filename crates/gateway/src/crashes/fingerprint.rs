//! What identifies the content of a request.

use bulrushhall_coord::crashes::PartId;
use hyper::Method;
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64_with_seed};

use crate::adapter::Call;

/// The seed of the id of a last part.
const LAST_PART_SEED: u64 = 1;

/// A `Fingerprint` identifies the content of a request in all attempts at it: at any node, carried, resumed, or sent again by its
/// caller. What differs between these is left out: ids, deadlines, keys and the last event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fingerprint {
    /// The ids of the parts of its prompt, in order, and the digest of all of it.
    ids: Vec<PartId>,
}

impl Default for Fingerprint {
    fn default() -> Fingerprint {
        Fingerprint { ids: vec![PartId::default()] }
    }
}

impl Fingerprint {
    /// Returns the fingerprint of a request with its complete body.
    pub fn new(method: &Method, path: &str, call: &Call, body: &[u8]) -> Fingerprint {
        let mut hasher = Xxh3Default::new();
        for text in [method.as_str(), &call.host, path] {
            update(&mut hasher, text.as_bytes());
        }
        let mut ids = Vec::new();
        if let Some(prompt) = &call.prompt {
            hasher.update(&prompt.tokens.to_le_bytes());
            for part in &prompt.parts {
                hasher.update(&part.id.to_le_bytes());
                hasher.update(&part.tokens.to_le_bytes());
                ids.push(PartId(part.id));
            }
        }
        // The last part belongs to the request or its session: a block of the same text elsewhere in prompts does not concern it.
        if let Some(last) = ids.last_mut() {
            *last = PartId(xxh3_64_with_seed(&last.0.to_le_bytes(), LAST_PART_SEED));
        }
        update(&mut hasher, body);
        ids.push(PartId(hasher.digest()));
        Fingerprint { ids }
    }

    /// Returns the ids of the parts and, as the last one, the digest.
    pub fn ids(&self) -> &[PartId] {
        &self.ids
    }

    /// Returns the ids of the parts, in order.
    pub fn parts(&self) -> &[PartId] {
        self.ids.split_last().map_or(&[], |(_, parts)| parts)
    }

    /// Returns the digest of the whole request.
    pub fn digest(&self) -> PartId {
        self.ids.last().copied().unwrap_or_default()
    }
}

// Hashes the length too, so that the end of one text is not taken for the beginning of the next one.
fn update(hasher: &mut Xxh3Default, bytes: &[u8]) {
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(bytes);
}
