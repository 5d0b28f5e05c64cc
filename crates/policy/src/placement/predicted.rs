//! Placement by the predicted time to the first token.

use bulrushhall_core::Stamp;
use rand::{Rng, RngExt};

use crate::{
    placement::{
        Placed, Placement, PlacementOptions, PlacementRequest, PrefixHints, WorkerKey, WorkerView,
        affinity_block, baselines::candidates, hints::HeldBlocks, rendezvous_score,
    },
    prefix::BLOCK_TOKENS,
};

/// The part of a batch, as a divisor, that is not counted on under lagging reports.
const EARLY_FULL: u32 = 6;

/// `PredictedLatency` chooses at random among the few engines where the first token is predicted first.
///
/// The prediction adds up the way there, the wait for a place in the batch, and the prompt tokens
/// that have to be computed: those that wait there already and those of this request that the
/// engine's cache is not believed to hold. Price and the chance of a reclaim add a little.
///
/// Load reports lag behind and all nodes see the same ones. If each took the best engine they
/// would all rush to it until the next report; the random choice among equals prevents this.
#[derive(Debug, Default)]
pub struct PredictedLatency {
    options: PlacementOptions,
    hints: PrefixHints,
    scored: Vec<(f64, WorkerKey)>,
}

/// What is the same for all engines in one decision.
struct Setting {
    now: Stamp,
    cheapest: u64,
    dearest: u64,
    mean_load: f64,
    home: Option<WorkerKey>,
    blocks_held: HeldBlocks,
}

impl PredictedLatency {
    /// Returns a placement that knows no cache contents yet.
    pub fn new(options: PlacementOptions) -> PredictedLatency {
        PredictedLatency { options, ..PredictedLatency::default() }
    }

    fn setting(&self, now: Stamp, req: &PlacementRequest, workers: &[WorkerView]) -> Setting {
        let (mut count, mut load) = (0, 0);
        let (mut cheapest, mut dearest) = (u64::MAX, 0);
        for worker in candidates(req, workers) {
            count += 1;
            load += worker.load();
            cheapest = cheapest.min(worker.price);
            dearest = dearest.max(worker.price);
        }
        let mean_load = f64::from(load) / f64::from(count.max(1));
        let mut setting = Setting {
            now,
            cheapest,
            dearest,
            mean_load,
            home: None,
            blocks_held: PrefixHints::scratch(),
        };
        self.hints.leading(&req.prefix, &mut setting.blocks_held);
        let Some(block) = affinity_block(&req.prefix) else { return setting };
        // A prefix that many requests share would overload its one home; an engine that is
        // already well above the mean passes the home on to the next one in the order.
        let bound = (setting.mean_load + 1.0) * self.options.load_bound;
        let homes = candidates(req, workers).filter(|worker| f64::from(worker.load()) <= bound);
        let home = homes.max_by_key(|worker| rendezvous_score(block, worker.identity));
        setting.home = home.map(|worker| worker.key);
        setting
    }

    // Returns the predicted seconds to the first token, and what else counts, as seconds.
    fn score(&self, req: &PlacementRequest, worker: &WorkerView, setting: &Setting) -> f64 {
        let cached = self.cached_tokens(req, worker, setting);
        let to_compute = f64::from(req.prompt_tokens) - cached;
        let per_token = 1.0 / f64::from(worker.prefill_per_second.max(1));
        let step = worker.step.as_secs_f64();
        // What other nodes sent since the last report is not seen, so the batch counts as full a
        // little early.
        let full = worker.slots - worker.slots / EARLY_FULL;
        let waiting = f64::from((worker.load() + 1).saturating_sub(full));
        let place = waiting * step * f64::from(req.answer_tokens) / f64::from(worker.slots.max(1));
        let prefill = (f64::from(worker.backlog(setting.now)) + to_compute) * per_token;
        let first_token = (place + prefill + step) * f64::from(worker.slowness)
            + 2.0 * worker.network_latency.as_secs_f64();

        // A fuller batch makes each step longer for all answers in it.
        let crowding = f64::from(worker.load()) / f64::from(worker.slots.max(1)) * step;
        first_token + crowding + self.price(worker, setting) + self.reclaim(req, worker, per_token)
    }

    fn cached_tokens(&self, req: &PlacementRequest, worker: &WorkerView, setting: &Setting) -> f64 {
        let blocks = self.hints.place_of(worker.key).map_or(0, |at| setting.blocks_held[at]);
        let known = (f64::from(blocks) * BLOCK_TOKENS as f64).min(f64::from(req.prompt_tokens));
        if setting.home != Some(worker.key) {
            return known;
        }
        known.max(f64::from(req.prompt_tokens) * self.options.home_share)
    }

    fn price(&self, worker: &WorkerView, setting: &Setting) -> f64 {
        if setting.dearest <= setting.cheapest {
            return 0.0;
        }
        let above = (worker.price - setting.cheapest) as f64;
        let range = (setting.dearest - setting.cheapest) as f64;
        self.options.cost * self.options.price_penalty.as_secs_f64() * above / range
    }

    // Returns the expected time for computing tokens again after a reclaim.
    fn reclaim(&self, req: &PlacementRequest, worker: &WorkerView, per_token: f64) -> f64 {
        if !worker.reclaimable {
            return 0.0;
        }
        let answer = f64::from(req.answer_tokens);
        let hours = answer * worker.step.as_secs_f64() / 3_600.0;
        let chance = (f64::from(worker.reclaims_per_hour) * hours).min(1.0);
        self.options.recomputed * chance * (f64::from(req.prompt_tokens) + answer / 2.0) * per_token
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
        let setting = self.setting(now, req, workers);
        let mut scored = std::mem::take(&mut self.scored);
        scored.clear();
        for worker in candidates(req, workers) {
            scored.push((self.score(req, worker, &setting), worker.key));
        }
        let finalists = self.options.finalists.clamp(1, scored.len().max(1));
        if finalists < scored.len() {
            scored.select_nth_unstable_by(finalists - 1, |one, other| one.0.total_cmp(&other.0));
        }
        let best = scored.iter().map(|(score, _)| *score).fold(f64::INFINITY, f64::min);
        let worst =
            best + self.options.margin.as_secs_f64().max(best * self.options.relative_margin);
        let few = &scored[..finalists.min(scored.len())];
        let count = few.iter().filter(|(score, _)| *score <= worst).count();
        let at = random.random_range(0..count.max(1));
        let chosen = few.iter().filter(|(score, _)| *score <= worst).nth(at).map(|(_, key)| *key);
        self.scored = scored;

        let worker = chosen.and_then(|key| workers.iter().find(|worker| worker.key == key))?;
        let cached = self.cached_tokens(req, worker, &setting);
        for &block in &req.prefix {
            self.hints.insert(worker.key, block, self.options.hinted_blocks);
        }
        Some(Placed {
            worker: worker.key,
            to_compute: req.prompt_tokens.saturating_sub(cached as u32),
        })
    }

    fn note_cache(&mut self, worker: WorkerKey, block: u64, held: bool) {
        if held {
            self.hints.insert(worker, block, self.options.hinted_blocks);
        } else {
            self.hints.remove(worker, block);
        }
    }

    fn forget(&mut self, worker: WorkerKey) {
        self.hints.forget(worker);
    }
}
