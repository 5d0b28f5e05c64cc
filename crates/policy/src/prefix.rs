//! Hashes of the leading blocks of a prompt, by which engines identify blocks in cache events.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of tokens in a block.
pub const BLOCK_TOKENS: usize = 16;

/// Returns the hashes of the full blocks of a prompt, each also covering all tokens before its
/// block.
///
/// Words stand in for tokens. For an engine with a finer tokenizer the hashes match no cache
/// events, and affinity relies on the placements of this node.
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
