//! Placement by predicted time to first token.

use bulrushhall_core::Stamp;
use rand::{Rng, RngExt};

use crate::{
    placement::{
        Placed, Placement, PlacementOptions, PlacementRequest, PrefixHints, WorkerKey, WorkerView,
        affinity_block, baselines::candidates, hints::CachedBlocks, rendezvous_score,
    },
    prefix::BLOCK_TOKENS,
};

/// The fraction of the batch slots, as a divisor, that is left out because load reports lag.
const SLOT_RESERVE_DIVISOR: u32 = 6;

/// `PredictedLatency` chooses at random among the engines with the lowest predicted times to first
/// token.
///
/// The prediction is the sum of the network latency, the wait for a slot in the batch, and the time
/// to compute prompt tokens: those already queued and those of this request that are probably not
/// in the engine's prefix cache. The price and the probability of a reclaim add a small penalty.
///
/// Load reports lag and all nodes see the same ones. If every node chose the best engine, all would
/// send to it until the next report; the random choice among similar engines prevents this herding.
#[derive(Debug, Default)]
pub struct PredictedLatency {
    options: PlacementOptions,
    hints: PrefixHints,
    scored: Vec<(f64, WorkerKey)>,
}

/// The inputs to a decision that are the same for all engines.
struct DecisionContext {
    now: Stamp,
    cheapest: u64,
    most_expensive: u64,
    mean_load: f64,
    home: Option<WorkerKey>,
    cached_blocks: CachedBlocks,
}

impl PredictedLatency {
    /// Returns a placement without cache hints.
    pub fn new(options: PlacementOptions) -> PredictedLatency {
        PredictedLatency { options, ..PredictedLatency::default() }
    }

    fn decision_context(
        &self,
        now: Stamp,
        req: &PlacementRequest,
        workers: &[WorkerView],
    ) -> DecisionContext {
        let (mut count, mut load) = (0, 0);
        let (mut cheapest, mut most_expensive) = (u64::MAX, 0);
        for worker in candidates(req, workers) {
            count += 1;
            load += worker.load();
            cheapest = cheapest.min(worker.price);
            most_expensive = most_expensive.max(worker.price);
        }
        let mean_load = f64::from(load) / f64::from(count.max(1));
        let mut context = DecisionContext {
            now,
            cheapest,
            most_expensive,
            mean_load,
            home: None,
            cached_blocks: PrefixHints::scratch(),
        };
        self.hints.leading_blocks(&req.prefix, &mut context.cached_blocks);
        let Some(block) = affinity_block(&req.prefix) else { return context };
        // A prefix that many requests share would overload its home engine. An engine with a load
        // well above the mean is skipped, and the next one in rendezvous order is the home.
        let bound = (context.mean_load + 1.0) * self.options.home_load_factor;
        let homes = candidates(req, workers).filter(|worker| f64::from(worker.load()) <= bound);
        let home = homes.max_by_key(|worker| rendezvous_score(block, worker.identity));
        context.home = home.map(|worker| worker.key);
        context
    }

    // Returns the predicted time to first token plus penalties, in seconds.
    fn score(&self, req: &PlacementRequest, worker: &WorkerView, context: &DecisionContext) -> f64 {
        let cached = self.cached_tokens(req, worker, context);
        let to_compute = f64::from(req.prompt_tokens) - cached;
        let per_token = 1.0 / f64::from(worker.prefill_per_second.max(1));
        let step = worker.step.as_secs_f64();
        // Requests that other nodes sent since the last report are not visible, so the batch counts
        // as full before all slots are taken.
        let full = worker.slots - worker.slots / SLOT_RESERVE_DIVISOR;
        let waiting = f64::from((worker.load() + 1).saturating_sub(full));
        let slot_wait =
            waiting * step * f64::from(req.answer_tokens) / f64::from(worker.slots.max(1));
        let prefill = (f64::from(worker.backlog(context.now)) + to_compute) * per_token;
        let first_token = (slot_wait + prefill + step) * f64::from(worker.slowness)
            + 2.0 * worker.network_latency.as_secs_f64();

        // A fuller batch makes each decoding step slower for all its requests.
        let contention = f64::from(worker.load()) / f64::from(worker.slots.max(1)) * step;
        first_token
            + contention
            + self.price_penalty(worker, context)
            + self.reclaim_penalty(req, worker, per_token)
    }

    fn cached_tokens(
        &self,
        req: &PlacementRequest,
        worker: &WorkerView,
        context: &DecisionContext,
    ) -> f64 {
        let blocks = self.hints.index_of(worker.key).map_or(0, |at| context.cached_blocks[at]);
        let known = (f64::from(blocks) * BLOCK_TOKENS as f64).min(f64::from(req.prompt_tokens));
        if context.home != Some(worker.key) {
            return known;
        }
        known.max(f64::from(req.prompt_tokens) * self.options.home_cached_share)
    }

    fn price_penalty(&self, worker: &WorkerView, context: &DecisionContext) -> f64 {
        if context.most_expensive <= context.cheapest {
            return 0.0;
        }
        let above = (worker.price - context.cheapest) as f64;
        let range = (context.most_expensive - context.cheapest) as f64;
        self.options.cost * self.options.price_penalty.as_secs_f64() * above / range
    }

    // Returns the expected time to recompute tokens after a reclaim, in seconds.
    fn reclaim_penalty(&self, req: &PlacementRequest, worker: &WorkerView, per_token: f64) -> f64 {
        if !worker.reclaimable {
            return 0.0;
        }
        let answer = f64::from(req.answer_tokens);
        let hours = answer * worker.step.as_secs_f64() / 3_600.0;
        let probability = (f64::from(worker.reclaims_per_hour) * hours).min(1.0);
        self.options.recomputed
            * probability
            * (f64::from(req.prompt_tokens) + answer / 2.0)
            * per_token
    }
}

impl Placement for PredictedLatency {
    fn place(
        &mut self,
        now: Stamp,
        req: &PlacementRequest,
        workers: &[WorkerView],
        random: &mut dyn Rng,
    ) -> Option<Placed> {
        let context = self.decision_context(now, req, workers);
        let mut scored = std::mem::take(&mut self.scored);
        scored.clear();
        for worker in candidates(req, workers) {
            scored.push((self.score(req, worker, &context), worker.key));
        }
        let top_candidates = self.options.top_candidates.clamp(1, scored.len().max(1));
        if top_candidates < scored.len() {
            scored
                .select_nth_unstable_by(top_candidates - 1, |one, other| one.0.total_cmp(&other.0));
        }
        let best = scored.iter().map(|(score, _)| *score).fold(f64::INFINITY, f64::min);
        let worst =
            best + self.options.margin.as_secs_f64().max(best * self.options.relative_margin);
        let top = &scored[..top_candidates.min(scored.len())];
        let count = top.iter().filter(|(score, _)| *score <= worst).count();
        let at = random.random_range(0..count.max(1));
        let chosen = top.iter().filter(|(score, _)| *score <= worst).nth(at).map(|(_, key)| *key);
        self.scored = scored;

        let worker = chosen.and_then(|key| workers.iter().find(|worker| worker.key == key))?;
        let cached = self.cached_tokens(req, worker, &context);
        for &block in &req.prefix {
            self.hints.insert(worker.key, block, self.options.max_hinted_blocks);
        }
        Some(Placed {
            worker: worker.key,
            to_compute: req.prompt_tokens.saturating_sub(cached as u32),
        })
    }

    fn note_cache(&mut self, worker: WorkerKey, block: u64, cached: bool) {
        if cached {
            self.hints.insert(worker, block, self.options.max_hinted_blocks);
        } else {
            self.hints.remove(worker, block);
        }
    }

    fn remove_worker(&mut self, worker: WorkerKey) {
        self.hints.remove_worker(worker);
    }
}
