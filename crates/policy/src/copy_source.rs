//! The choice of an engine to copy cached prompt tokens from.

use std::cmp::Reverse;

use crate::placement::WorkerKey;

/// The minimum number of tokens that are worth a copy: an engine computes fewer within the 5 to 10
/// ms that the setup of a copy takes.
pub const MIN_COPIED_TOKENS: u32 = 512;
/// The failure rate at which an engine is not used as a source: the copy would probably fail too,
/// and the prompt would be computed after a wasted wait.
const MAX_FAILURE_RATE: f64 = 0.2;

/// A `SourceView` is the view that a node has of an engine that may be copied from.
#[derive(Clone, Copy, Debug)]
pub struct SourceView {
    /// The engine.
    pub key: WorkerKey,
    /// The leading tokens of the prompt that it caches.
    pub cached: u32,
    /// Whether it is in the availability zone of the engine that copies.
    pub same_zone: bool,
    /// The requests that all nodes have there.
    pub requests: u32,
    /// The share of failures among recent calls there.
    pub failure_rate: f64,
}

impl SourceView {
    fn is_trusted(&self) -> bool {
        self.failure_rate < MAX_FAILURE_RATE
    }
}

/// Returns the maximum number of leading prompt tokens that a trusted source caches.
pub fn max_cached_tokens(sources: &[SourceView]) -> u32 {
    let trusted = sources.iter().filter(|source| source.is_trusted());
    trusted.map(|source| source.cached).max().unwrap_or(0)
}

/// Returns the trusted source that caches the most tokens, preferring the same zone and then the
/// fewest requests; none if no source has enough tokens beyond the `cached` ones of the engine that
/// copies.
pub fn choose_source(
    sources: impl IntoIterator<Item = SourceView>,
    cached: u32,
) -> Option<SourceView> {
    sources
        .into_iter()
        .filter(SourceView::is_trusted)
        .filter(|source| MIN_COPIED_TOKENS <= source.cached.saturating_sub(cached))
        .max_by_key(|source| (source.cached, source.same_zone, Reverse(source.requests)))
}
