//! Estimates of the number of tokens, for use until an engine reports the exact number.

/// The assumed number of bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Returns the estimated number of tokens of a text of `bytes` bytes, at least one.
pub fn estimate(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN).max(1)).unwrap_or(u32::MAX)
}
