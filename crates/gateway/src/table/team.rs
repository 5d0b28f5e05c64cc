//! One team and its limit.

use bulrushhall_core::TeamName;
use bulrushhall_policy::quota::QuotaLimit;

/// A `QuotaUnit` is the unit of a team's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// Each request counts as its tokens.
    Tokens {
        /// The tokens that are counted for a request that announces none.
        default_tokens: f64,
    },
}

/// A `TeamEntry` is one team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamEntry {
    /// Its name.
    pub name: TeamName,
    /// Its priority, if it overrides the priority of the route.
    pub priority: Option<u8>,
    /// Its limit over all nodes.
    pub limit: QuotaLimit,
    /// The unit of the limit.
    pub unit: QuotaUnit,
}
