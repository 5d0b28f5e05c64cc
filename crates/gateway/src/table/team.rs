//! One team and what it may take.

use bulrushhall_core::TeamName;
use bulrushhall_policy::quota::QuotaLimit;

/// A `QuotaUnit` tells in what a team's limit is counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// Each request counts as its tokens.
    Tokens {
        /// What a request counts as that tells no tokens.
        default_tokens: f64,
    },
}

/// A `TeamEntry` is one team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamEntry {
    /// Its name.
    pub name: TeamName,
    /// Its rank, where it goes before the rank of a route.
    pub priority: Option<u8>,
    /// What it may take over all nodes.
    pub limit: QuotaLimit,
    /// In what that is counted.
    pub unit: QuotaUnit,
}
