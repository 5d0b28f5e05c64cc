//! Rendezvous hashing: all nodes compute the same home engine for a prefix without communication.

/// The number of leading blocks that identify a conversation.
const AFFINITY_BLOCKS: usize = 16;

/// Returns the block that determines the home engine of a prompt; none for a prompt shorter than a
/// block.
pub fn affinity_block(prefix: &[u64]) -> Option<u64> {
    let last = prefix.len().min(AFFINITY_BLOCKS).checked_sub(1)?;
    prefix.get(last).copied()
}

/// Returns the score of an engine for a block; the engine with the highest score is its home.
pub fn rendezvous_score(block: u64, identity: u64) -> u64 {
    mix(block ^ mix(identity))
}

/// Returns a hash of a number, by the finalizer of SplitMix64.
pub(crate) fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
