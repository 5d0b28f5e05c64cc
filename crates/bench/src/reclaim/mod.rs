//! The cost of a reclaimed zone under three strategies: restart, resume, and moves of KV cache.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_coord::{Evacuation, EvacuationOptions, Movable};
use bulrushhall_core::{Incarnation, ModelName, RequestId, Stamp};
use bulrushhall_external::engine::{Frame, Generate};
use bulrushhall_standin::engine::{EngineModel, EngineOptions};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// A `ReclaimStrategy` is how the answers on a reclaimed engine are continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReclaimStrategy {
    /// Each answer restarts from its prompt.
    Restart,
    /// Each answer is resumed on another engine with its prompt and emitted tokens.
    Resume,
    /// The KV cache of the answers in the evacuation plan is moved; the others are resumed.
    Move,
}

/// A `ReclaimPlan` is the parameters of a simulated reclaim.
#[derive(Clone, Debug)]
pub struct ReclaimPlan {
    /// The seed of the prompts.
    pub seed: u64,
    /// The number of engines in the reclaimed zone; each has one outside it as its replacement.
    pub engines: usize,
    /// The number of answers on each reclaimed engine.
    pub answers: usize,
    /// The time from the notice to the reclaim.
    pub notice: Duration,
    /// The options of the engines.
    pub engine: EngineOptions,
}

/// A `ReclaimCost` is the cost of a reclaimed zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ReclaimCost {
    /// The number of answers on the reclaimed engines at the time of the notice.
    pub answers: usize,
    /// The tokens that were computed again, the rewritten ones included.
    pub recomputed_tokens: u64,
    /// The emitted tokens that were generated again, at one step each.
    pub rewritten_tokens: u64,
    /// The bytes of moved KV cache.
    pub moved_bytes: u64,
    /// The number of answers whose KV cache was moved.
    pub moved: usize,
}

/// The lower bound of the tokens of a prompt.
const MIN_PROMPT_TOKENS: u32 = 200;
/// The upper bound of the tokens of a prompt, exclusive.
const MAX_PROMPT_TOKENS: u32 = 2_400;
/// The time of the notice.
const NOTICE_AT: Stamp = Stamp::from_millis(5_000);

impl Default for ReclaimPlan {
    fn default() -> Self {
        ReclaimPlan {
            seed: 1,
            engines: 2,
            answers: 16,
            notice: Duration::from_secs(10),
            engine: EngineOptions::default(),
        }
    }
}

/// Simulates the reclaim of a zone in virtual time and returns its cost.
pub fn simulate_reclaim(plan: &ReclaimPlan, strategy: ReclaimStrategy) -> ReclaimCost {
    let mut cost = ReclaimCost::default();
    for engine in 0..plan.engines {
        simulate_engine(plan, engine, strategy, &mut cost);
    }
    cost
}

fn simulate_engine(
    plan: &ReclaimPlan,
    engine: usize,
    strategy: ReclaimStrategy,
    cost: &mut ReclaimCost,
) {
    let mut old = EngineModel::new(plan.engine.clone());
    let mut new = EngineModel::new(plan.engine.clone());
    let mut running: BTreeMap<RequestId, Generate> = BTreeMap::new();
    let mut random = Pcg64Mcg::seed_from_u64(plan.seed + engine as u64);
    for sequence in 0..plan.answers {
        let req = request(engine, sequence, &mut random);
        running.insert(req.request, req.clone());
        old.submit(Stamp(0), req);
    }
    advance(&mut old, NOTICE_AT, &mut running);
    cost.answers += running.len();

    let options = EvacuationOptions {
        bytes_per_token: plan.engine.bytes_per_token,
        move_per_second: plan.engine.move_per_second,
        prefill_per_second: plan.engine.prefill_per_second,
        ..EvacuationOptions::default()
    };
    let mut now = NOTICE_AT;
    if strategy == ReclaimStrategy::Move {
        let answers: Vec<Movable> = running.values().map(to_movable).collect();
        let evacuation = Evacuation::plan(plan.notice, answers, &options);
        for id in evacuation.moved {
            let Some(req) = running.get(&id) else { continue };
            let movable = to_movable(req);
            now = now + options.time_to_move(&movable);
            let blocks = old.export(id);
            advance(&mut old, now, &mut running);
            let Some(req) = running.remove(&id) else { continue };
            old.cancel(id);
            new.import(&blocks);
            new.submit(now, Generate { attempt: 1, ..req });
            cost.moved += 1;
            cost.moved_bytes += u64::from(movable.tokens) * options.bytes_per_token;
        }
    }
    let end = NOTICE_AT + plan.notice;
    advance(&mut old, now.max(end - options.margin), &mut running);
    for req in running.into_values() {
        old.cancel(req.request);
        let emitted = match strategy {
            ReclaimStrategy::Restart => {
                cost.rewritten_tokens += req.emitted.len() as u64;
                cost.recomputed_tokens += req.emitted.len() as u64;
                Vec::new()
            }
            ReclaimStrategy::Resume | ReclaimStrategy::Move => req.emitted,
        };
        new.submit(end, Generate { attempt: 1, emitted, ..req });
    }
    new.advance(end + Duration::from_secs(600));
    cost.recomputed_tokens += new.totals().1;
}

fn advance(engine: &mut EngineModel, until: Stamp, running: &mut BTreeMap<RequestId, Generate>) {
    for output in engine.advance(until) {
        match output.frame {
            Frame::Token(token) => {
                let Some(req) = running.get_mut(&output.request) else { continue };
                req.emitted.push(token);
            }
            Frame::Done(_) => drop(running.remove(&output.request)),
        }
    }
}

fn to_movable(req: &Generate) -> Movable {
    let prompt = req.prompt.split_whitespace().count();
    let tokens = u32::try_from(prompt + req.emitted.len()).unwrap_or(u32::MAX);
    Movable { id: req.request, tokens, cached_elsewhere: 0 }
}

fn request(engine: usize, sequence: usize, random: &mut Pcg64Mcg) -> Generate {
    let words = random.random_range(MIN_PROMPT_TOKENS..MAX_PROMPT_TOKENS);
    let mut prompt = String::new();
    for word in 0..words {
        prompt.push_str(&format!("w{engine}.{sequence}.{word} "));
    }
    let model = ModelName::new("motif-7b").unwrap_or_else(|_| unreachable!("a valid name"));
    Generate {
        request: RequestId { origin: Incarnation(engine as u64 + 1), sequence: sequence as u64 },
        attempt: 0,
        model,
        prompt,
        emitted: Vec::new(),
        max_tokens: 1_000,
        priority: 5,
        fence: Default::default(),
    }
}
