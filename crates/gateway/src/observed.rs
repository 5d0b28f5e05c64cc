//! The latencies that a node has observed at the backend servers of one service.

use bulrushhall_policy::{
    observed::{CallTimes, EngineLatencyEstimator},
    prefix_homes::CachedShare,
    server_speed::LinkOffset,
};

/// `Observed` are the latencies that a node has observed at the backend servers of one service.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// The latency estimates of its engines.
    pub engines: EngineLatencyEstimator,
    /// The share of prefixes that its engines cache without a record of this node.
    pub cached_share: CachedShare,
    /// The call times, if it is a plain service.
    pub calls: CallTimes,
    /// What the link of this node adds to first tokens and calls.
    pub link: LinkOffset,
}
