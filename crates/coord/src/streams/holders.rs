//! The nodes that hold copies of a stream's origin.

use std::cmp::Reverse;

use super::{StreamKey, copies::COPIES};

/// The maximum number of nodes that are asked for a stream: the holders, the node that began it, which may rank before
/// them, and one that has joined or left since.
pub const MAX_ASKED: usize = COPIES + 2;

/// Returns the nodes, given by their hashes, to which the node that began a stream copies its origin.
pub fn copy_holders<T>(key: StreamKey, others: impl IntoIterator<Item = (u64, T)>) -> Vec<T> {
    ranked(key, others, COPIES)
}

/// Returns the nodes that a node asks for a stream that it does not know.
pub fn asked_nodes<T>(key: StreamKey, others: impl IntoIterator<Item = (u64, T)>) -> Vec<T> {
    ranked(key, others, MAX_ASKED)
}

fn ranked<T>(key: StreamKey, nodes: impl IntoIterator<Item = (u64, T)>, count: usize) -> Vec<T> {
    let scored = nodes.into_iter().map(|(hash, node)| (key.score(hash), node));
    let mut scored: Vec<(u64, T)> = scored.collect();
    scored.sort_by_key(|(score, _)| Reverse(*score));
    scored.into_iter().take(count).map(|(_, node)| node).collect()
}
