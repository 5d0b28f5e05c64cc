//! Engine choices of many nodes with outdated loads.

mod idle;

use std::collections::VecDeque;

use bulrushhall_policy::{
    engine_choice::{EngineRequest, EngineView, choose_engine},
    observed::EngineLatencyModel,
    placement::WorkerKey,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;
use slotmap::SlotMap;

const NODES: usize = 100;
const ENGINES: usize = 60;
const SECONDS: usize = 30;
const STEP_MS: usize = 10;
/// The mean number of prompt tokens to compute.
const MEAN_TOKENS: f64 = 2_000.0;
/// The prompt tokens that an engine computes per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// The utilization of the engines.
const UTILIZATION: f64 = 0.7;

fn view(key: WorkerKey, at: usize, waiting: f64) -> EngineView {
    EngineView { waiting_tokens: waiting as u64, ..idle::engine(key, at as u64, 500_000) }
}

// Returns the waits of the requests in milliseconds, in ascending order.
fn waits(delay_ms: usize, counts_unseen: bool, seed: u64) -> Vec<f64> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let engines: Vec<WorkerKey> = (0..ENGINES).map(|_| keys.insert(())).collect();
    let mut waiting = vec![0.0_f64; ENGINES];
    let mut reported: VecDeque<Vec<f64>> = VecDeque::new();
    let mut own_requests: Vec<VecDeque<(usize, usize, f64)>> = vec![VecDeque::new(); NODES];
    let mut waits = Vec::new();
    let rate = UTILIZATION * ENGINES as f64 * PREFILL_TOKENS_PER_MS / MEAN_TOKENS;
    let unseen = if counts_unseen { rate * MEAN_TOKENS * delay_ms as f64 } else { 0.0 };
    for step in 0..SECONDS * 1_000 / STEP_MS {
        for tokens in &mut waiting {
            *tokens = (*tokens - PREFILL_TOKENS_PER_MS * STEP_MS as f64).max(0.0);
        }
        reported.push_back(waiting.clone());
        if delay_ms / STEP_MS < reported.len() {
            reported.pop_front();
        }
        let mut due = rate * STEP_MS as f64;
        while random.random_bool(due.clamp(0.0, 1.0)) {
            due -= 1.0;
            let node = random.random_range(0..NODES);
            own_requests[node].retain(|(sent, _, _)| step < sent + delay_ms / STEP_MS);
            let tokens = MEAN_TOKENS * random.random_range(0.2..1.8);
            let mut visible = reported[0].clone();
            for (_, at, tokens) in &own_requests[node] {
                visible[*at] += tokens;
            }
            let views: Vec<EngineView> =
                (0..ENGINES).map(|at| view(engines[at], at, visible[at])).collect();
            let mut model = EngineLatencyModel { samples: 100, ..EngineLatencyModel::default() };
            model.first.slope = 1.0 / PREFILL_TOKENS_PER_MS;
            let req = EngineRequest {
                parts: &[],
                prompt_tokens: tokens as u32,
                answer_tokens: 100,
                cached_elsewhere: 0,
                copied_per_ms: 0.0,
                model,
                unseen_tokens: unseen,
            };
            let chosen = choose_engine(req, &views, &mut random).expect("an engine");
            let at = engines.iter().position(|key| *key == chosen.key).expect("known");
            waits.push(waiting[at] / PREFILL_TOKENS_PER_MS);
            waiting[at] += tokens;
            own_requests[node].push_back((step, at, tokens));
        }
    }
    waits.sort_by(f64::total_cmp);
    waits
}

// A hundred nodes must not all send their requests to the engine whose queue was shortest in the
// last reports, while other engines are idle.
#[rstest]
#[case::through_relays(350)]
#[case::direct(130)]
fn no_herding(#[case] delay_ms: usize) {
    for seed in 0..3 {
        let without = waits(delay_ms, false, seed);
        let with = waits(delay_ms, true, seed);
        let at = |waits: &[f64], share: f64| waits[(waits.len() as f64 * share) as usize];
        let (before, after) = (at(&without, 0.95), at(&with, 0.95));
        assert!(
            after < before * 0.7,
            "seed {seed}: p95 wait {after} ms, {before} ms without counting unseen requests"
        );
    }
}
