//! Many nodes that choose engines by loads that are a moment old.

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
/// The tokens that a prompt has to be read of, on average.
const TOKENS: f64 = 2_000.0;
/// What an engine reads in a millisecond.
const READ_PER_MS: f64 = 50.0;
/// The part of the engines' time that is used.
const USED: f64 = 0.7;

fn view(key: WorkerKey, at: usize, waiting: f64) -> EngineView {
    EngineView { waiting_tokens: waiting as u64, ..idle::engine(key, at as u64, 500_000) }
}

// Returns the waits of requests in milliseconds, least first.
fn waits(late_ms: usize, counts_unseen: bool, seed: u64) -> Vec<f64> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let engines: Vec<WorkerKey> = (0..ENGINES).map(|_| keys.insert(())).collect();
    let mut waiting = vec![0.0_f64; ENGINES];
    let mut told: VecDeque<Vec<f64>> = VecDeque::new();
    let mut own: Vec<VecDeque<(usize, usize, f64)>> = vec![VecDeque::new(); NODES];
    let mut waits = Vec::new();
    let rate = USED * ENGINES as f64 * READ_PER_MS / TOKENS;
    let unseen = if counts_unseen { rate * TOKENS * late_ms as f64 } else { 0.0 };
    for step in 0..SECONDS * 1_000 / STEP_MS {
        for tokens in &mut waiting {
            *tokens = (*tokens - READ_PER_MS * STEP_MS as f64).max(0.0);
        }
        told.push_back(waiting.clone());
        if late_ms / STEP_MS < told.len() {
            told.pop_front();
        }
        let mut due = rate * STEP_MS as f64;
        while random.random_bool(due.clamp(0.0, 1.0)) {
            due -= 1.0;
            let node = random.random_range(0..NODES);
            own[node].retain(|(sent, _, _)| step < sent + late_ms / STEP_MS);
            let tokens = TOKENS * random.random_range(0.2..1.8);
            let mut seen = told[0].clone();
            for (_, at, tokens) in &own[node] {
                seen[*at] += tokens;
            }
            let views: Vec<EngineView> =
                (0..ENGINES).map(|at| view(engines[at], at, seen[at])).collect();
            let mut pace = EngineLatencyModel { samples: 100, ..EngineLatencyModel::default() };
            pace.first.slope = 1.0 / READ_PER_MS;
            let req = EngineRequest {
                parts: &[],
                prompt_tokens: tokens as u32,
                answer_tokens: 100,
                cached_elsewhere: 0,
                copied_per_ms: 0.0,
                model: pace,
                unseen_tokens: unseen,
            };
            let chosen = choose_engine(req, &views, &mut random).expect("an engine");
            let at = engines.iter().position(|key| *key == chosen.key).expect("known");
            waits.push(waiting[at] / READ_PER_MS);
            waiting[at] += tokens;
            own[node].push_back((step, at, tokens));
        }
    }
    waits.sort_by(f64::total_cmp);
    waits
}

// Guards against a hundred nodes that all send their requests to the engine whose queue looked shortest a moment
// ago, while other engines have nothing to read.
#[rstest]
#[case::through_relays(350)]
#[case::directly(130)]
fn no_herd(#[case] late_ms: usize) {
    for seed in 0..3 {
        let herd = waits(late_ms, false, seed);
        let spread = waits(late_ms, true, seed);
        let at = |waits: &[f64], share: f64| waits[(waits.len() as f64 * share) as usize];
        let (before, after) = (at(&herd, 0.95), at(&spread, 0.95));
        assert!(
            after < before * 0.7,
            "seed {seed}: {after} ms, {before} ms where it is not counted"
        );
    }
}
