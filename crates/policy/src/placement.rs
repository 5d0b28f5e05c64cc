//! Choice of the engine that a request runs on.

use std::time::Duration;

use bulrushhall_core::Stamp;
use rand::Rng;

slotmap::new_key_type! {
    /// A `WorkerKey` names one backend server inside a node; it is never used twice.
    pub struct WorkerKey;
}

/// A `WorkerView` is what a node believes of one engine.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// The engine.
    pub key: WorkerKey,
    /// Whether it takes new work.
    pub open: bool,
    /// The one-way latency to it.
    pub distance: Duration,
    /// The requests that this node has running there.
    pub outstanding: u32,
    /// The estimated tokens that this node has running there.
    pub outstanding_tokens: u32,
    /// The requests running there in the last report.
    pub reported_running: u32,
    /// The requests waiting there in the last report.
    pub reported_waiting: u32,
    /// The prompt tokens waiting there in the last report.
    pub reported_backlog: u32,
    /// When the last report was taken.
    pub reported_at: Stamp,
    /// The time between two tokens there.
    pub step: Duration,
    /// The price of an hour, in thousandths of a cent.
    pub price: u64,
    /// Whether its VM can be taken back.
    pub reclaimable: bool,
}

/// A `PlacementRequest` is what has to be placed.
#[derive(Clone, Debug, Default)]
pub struct PlacementRequest {
    /// The hashes of the prompt's leading blocks, each covering all before it.
    pub prefix: Vec<u64>,
    /// The tokens of the prompt and of what was emitted.
    pub prompt_tokens: u32,
    /// The estimated tokens of the answer.
    pub answer_tokens: u32,
    /// The engines that failed for this request already.
    pub avoid: Vec<WorkerKey>,
}

/// A `Placement` chooses an engine for a request.
pub trait Placement: Send {
    /// Returns the chosen engine; none if no engine takes new work.
    fn place(
        &mut self,
        now: Stamp,
        req: &PlacementRequest,
        workers: &[WorkerView],
        random: &mut dyn Rng,
    ) -> Option<WorkerKey>;
}

/// `LeastOutstanding` chooses the engine with the fewest requests of this node.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastOutstanding;

impl Placement for LeastOutstanding {
    fn place(
        &mut self,
        _now: Stamp,
        req: &PlacementRequest,
        workers: &[WorkerView],
        _random: &mut dyn Rng,
    ) -> Option<WorkerKey> {
        let open = workers.iter().filter(|worker| worker.open);
        let best = open.min_by_key(|worker| {
            (req.avoid.contains(&worker.key), worker.outstanding, worker.distance)
        });
        best.map(|worker| worker.key)
    }
}
