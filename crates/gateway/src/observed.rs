//! What a node has learnt of the backend servers of one service.

use bulrushhall_policy::observed::{CallTimes, EngineLatencyEstimator};

/// `Observed` is what a node has learnt of the backend servers of one service.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// The speed of its engines.
    pub engines: EngineLatencyEstimator,
    /// How long its calls take, where it is a plain service.
    pub calls: CallTimes,
}
