//! Simple placement policies, as baselines for the default one.

use bulrushhall_core::Stamp;
use rand::{Rng, RngExt};

use crate::placement::{
    Placed, Placement, PlacementRequest, WorkerView, affinity_block, rendezvous_score,
};

/// `Random` chooses any engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

/// `RoundRobin` chooses the engines in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

/// `LeastOutstanding` chooses the engine with the fewest outstanding requests from this node.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastOutstanding;

/// `TwoChoices` chooses the less loaded of two random engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

/// `PrefixAffinity` chooses the engine that the prompt's prefix hashes to, regardless of its load.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixAffinity;

impl Placement for Random {
    fn place(
        &mut self,
        _now: Stamp,
        req: &PlacementRequest,
        workers: &[WorkerView],
        random: &mut dyn Rng,
    ) -> Option<Placed> {
        let count = candidates(req, workers).count();
        nth(req, workers, random.random_range(0..count.max(1))).map(|worker| placed(req, worker))
    }
}

impl Placement for RoundRobin {
    fn place(
        &mut self,
        _now: Stamp,
        req: &PlacementRequest,
        workers: &[WorkerView],
        _random: &mut dyn Rng,
    ) -> Option<Placed> {
        let count = candidates(req, workers).count();
        self.next = self.next.wrapping_add(1);
        nth(req, workers, self.next % count.max(1)).map(|worker| placed(req, worker))
    }
}

impl Placement for LeastOutstanding {
    fn place(
        &mut self,
        _now: Stamp,
        req: &PlacementRequest,
        workers: &[WorkerView],
        _random: &mut dyn Rng,
    ) -> Option<Placed> {
        let best = candidates(req, workers)
            .min_by_key(|worker| (worker.outstanding, worker.network_latency));
        best.map(|worker| placed(req, worker))
    }
}

impl Placement for TwoChoices {
    fn place(
        &mut self,
        _now: Stamp,
        req: &PlacementRequest,
        workers: &[WorkerView],
        random: &mut dyn Rng,
    ) -> Option<Placed> {
        let count = candidates(req, workers).count().max(1);
        let one = nth(req, workers, random.random_range(0..count))?;
        let other = nth(req, workers, random.random_range(0..count))?;
        Some(placed(req, if other.load() < one.load() { other } else { one }))
    }
}

impl Placement for PrefixAffinity {
    fn place(
        &mut self,
        _now: Stamp,
        req: &PlacementRequest,
        workers: &[WorkerView],
        random: &mut dyn Rng,
    ) -> Option<Placed> {
        let block = affinity_block(&req.prefix).unwrap_or_else(|| random.next_u64());
        let best =
            candidates(req, workers).max_by_key(|worker| rendezvous_score(block, worker.identity));
        best.map(|worker| placed(req, worker))
    }
}

/// Returns the engines that are eligible for a request: the open ones with a suitable role, without
/// those to avoid unless no others are left.
pub(crate) fn candidates<'a>(
    req: &'a PlacementRequest,
    workers: &'a [WorkerView],
) -> impl Iterator<Item = &'a WorkerView> {
    let fits =
        |worker: &&WorkerView| worker.open && req.stage.fits(worker.role) && req.allows(worker.key);
    let has_others = workers.iter().filter(fits).any(|worker| !req.avoid.contains(&worker.key));
    workers
        .iter()
        .filter(fits)
        .filter(move |worker| !has_others || !req.avoid.contains(&worker.key))
}

fn nth<'a>(
    req: &'a PlacementRequest,
    workers: &'a [WorkerView],
    at: usize,
) -> Option<&'a WorkerView> {
    candidates(req, workers).nth(at)
}

fn placed(req: &PlacementRequest, worker: &WorkerView) -> Placed {
    Placed { worker: worker.key, to_compute: req.prompt_tokens }
}
