//! Hashes of a prompt's leading blocks, as engines name them in cache events.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The tokens of one block.
pub const BLOCK_TOKENS: usize = 16;

/// Returns the hashes of the full blocks of a prompt, each covering all tokens before it.
///
/// A token is taken to be a word. Engines count finer tokens; the hashes then match no cache
/// event and affinity rests on what this node placed itself.
pub fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut hash = 0;
    for (at, word) in prompt.split_whitespace().enumerate() {
        hash = xxh3_64_with_seed(word.as_bytes(), hash);
        if (at + 1).is_multiple_of(BLOCK_TOKENS) {
            hashes.push(hash);
        }
    }
    hashes
}
