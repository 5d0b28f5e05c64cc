//! The engine from which another one copies what it lacks of a prompt.

use std::cmp::Reverse;

use crate::placement::WorkerKey;

/// The fewest tokens that are worth a copy: an engine reads fewer in the 5 to 10 ms that it takes to
/// set one up.
pub const MIN_COPIED_TOKENS: u32 = 512;
/// The share of failures from which an engine is not copied from: the copy would fail too, and the
/// prompt be read after a lost wait.
const FAILING_MOST: f64 = 0.2;

/// A `SourceView` is what a node believes of an engine that may be copied from.
#[derive(Clone, Copy, Debug)]
pub struct SourceView {
    /// The engine.
    pub key: WorkerKey,
    /// The leading tokens of the prompt that it keeps.
    pub cached: u32,
    /// Whether it is in the same availability zone as the one that copies.
    pub same_zone: bool,
    /// The requests of all nodes there.
    pub requests: u32,
    /// The share of failures among the last calls there.
    pub failure_rate: f64,
}

impl SourceView {
    fn is_trusted(&self) -> bool {
        self.failure_rate < FAILING_MOST
    }
}

/// Returns the most leading tokens of the prompt that an engine keeps which may be copied from.
pub fn max_cached_tokens(sources: &[SourceView]) -> u32 {
    let trusted = sources.iter().filter(|source| source.is_trusted());
    trusted.map(|source| source.cached).max().unwrap_or(0)
}

/// Chooses the engine that keeps most, the nearest and idlest of these; none where the copy would not
/// be worth it for an engine that keeps `cached` tokens itself.
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
