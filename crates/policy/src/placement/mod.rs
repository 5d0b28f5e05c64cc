//! Placement: which engine a request runs on.

mod baselines;
mod hints;
mod options;
mod predicted;
mod registry;
mod rendezvous;
mod request;
mod subset;
mod worker;

use bulrushhall_core::Stamp;
use rand::Rng;

pub use baselines::{LeastOutstanding, PrefixAffinity, Random, RoundRobin, TwoChoices};
pub use hints::PrefixHints;
pub use options::PlacementOptions;
pub use predicted::PredictedLatency;
pub use registry::{PlacementDescriptor, PlacementRegistry};
pub use rendezvous::{affinity_block, rendezvous_score};
pub use request::{PlacementRequest, Stage};
pub use subset::subset;
pub use worker::{LoadReport, WorkerKey, WorkerRole, WorkerView};

/// A `Placed` is the result of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placed {
    /// The chosen engine.
    pub worker: WorkerKey,
    /// The prompt tokens that the engine is expected to compute.
    pub to_compute: u32,
}

/// A `Placement` chooses an engine for a request.
pub trait Placement: Send {
    /// Returns the chosen engine, or none if no engine accepts new work.
    fn place(
        &mut self,
        now: Stamp,
        req: &PlacementRequest,
        workers: &[WorkerView],
        random: &mut dyn Rng,
    ) -> Option<Placed>;

    /// Records that an engine's prefix cache added or evicted a block; `cached` is whether it holds
    /// the block now.
    fn note_cache(&mut self, _worker: WorkerKey, _block: u64, _cached: bool) {}

    /// Removes all state of an engine.
    fn remove_worker(&mut self, _worker: WorkerKey) {}
}
