//! Counting of tokens before an engine has told the exact figure.

/// The number of bytes of text that one token is taken to stand for.
const BYTES_PER_TOKEN: usize = 4;

/// Returns the estimated number of tokens of a text of `bytes` bytes, at least one.
pub fn estimate(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN).max(1)).unwrap_or(u32::MAX)
}
