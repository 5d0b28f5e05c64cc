//! Gossip of the prompt parts that a node sent to engines.

mod idle;

use std::time::Duration;

use bulrushhall_core::Stamp;
use bulrushhall_policy::{
    engine_choice::{EngineRequest, EngineView, choose_engine},
    observed::EngineLatencyModel,
    parts::{CachedParts, PromptPart},
    placement::WorkerKey,
    recent_parts::RecentParts,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use slotmap::SlotMap;

const ADVERTISED_FOR: Duration = Duration::from_secs(1);
const SHARED_TOKENS: u32 = 13_300;
const OWN_TOKENS: u32 = 3_700;
const NODES: usize = 30;
const ENGINES: u64 = 60;
const PREFIXES: u64 = 500;
const REQUESTS: u64 = 6_000;
const REQUESTS_PER_SECOND: u64 = 100;
const MEMORY: u64 = 566_000;
const TRACKED_TOKENS: u64 = 340_000;

fn part(id: u64) -> PromptPart {
    PromptPart { id, tokens: 100 }
}

fn second(number: u64) -> Stamp {
    Stamp(0) + Duration::from_secs(number)
}

#[test]
fn advertised_once() {
    let mut recent = RecentParts::default();
    recent.note(second(1), &[part(2), part(1)]);
    recent.note(second(1), &[part(1), part(3)]);
    let mut updates = recent.updates(second(1), ADVERTISED_FOR);
    updates.sort_by_key(|part| part.id);
    assert_eq!(updates, [part(1), part(2), part(3)]);
}

#[test]
fn advertised_for_a_second() {
    let mut recent = RecentParts::default();
    recent.note(second(1), &[part(1)]);
    recent.note(second(2), &[part(2)]);
    assert_eq!(recent.updates(second(2), ADVERTISED_FOR), [part(2)]);
    assert_eq!(recent.updates(second(3), ADVERTISED_FOR), []);
}

// A part that is sent again must not be advertised each time, or messages would grow; but it must
// be advertised again after a while, or other nodes would evict it as least recently used.
#[test]
fn sent_again() {
    let mut recent = RecentParts::default();
    recent.note(second(1), &[part(1)]);
    recent.note(second(2), &[part(1)]);
    assert_eq!(recent.updates(second(2), ADVERTISED_FOR), []);
    recent.note(second(3), &[part(1)]);
    assert_eq!(recent.updates(second(3), ADVERTISED_FOR), [part(1)]);
}

// Thirty nodes send prompts with five hundred shared prefixes to sixty engines, with callers spread
// evenly over the nodes. Without gossip about what was sent, engine after engine computes the same
// prefix while callers wait. With gossip most prefixes must be found in a cache.
#[test]
fn gossip_avoids_recomputation() {
    let without = recomputed_tokens(false);
    let with = recomputed_tokens(true);
    assert!(with * 2 < without, "{with} recomputed tokens, {without} without gossip");
}

// Returns the shared tokens that an engine computed although another engine had computed them
// before.
fn recomputed_tokens(gossips: bool) -> u64 {
    let mut random = Pcg64::seed_from_u64(3);
    let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let engines: Vec<WorkerKey> = (0..ENGINES).map(|_| keys.insert(())).collect();
    let mut actual = vec![CachedParts::default(); engines.len()];
    let mut estimated = vec![vec![CachedParts::default(); engines.len()]; NODES];
    let mut waiting = vec![0_u64; engines.len()];
    let mut was_computed = vec![false; PREFIXES as usize];
    let mut recomputed = 0;
    for number in 0..REQUESTS {
        let now = Stamp(0) + Duration::from_millis(number * 1_000 / REQUESTS_PER_SECOND);
        for tokens in &mut waiting {
            *tokens = tokens.saturating_sub(50 * 1_000 / REQUESTS_PER_SECOND);
        }
        let prefix = random.random_range(0..PREFIXES);
        let own = PromptPart { id: PREFIXES + number, tokens: OWN_TOKENS };
        let parts = [PromptPart { id: prefix, tokens: SHARED_TOKENS }, own];
        let node = random.random_range(0..NODES);
        let views: Vec<EngineView> = engines
            .iter()
            .enumerate()
            .map(|(at, key)| view(*key, at, waiting[at], estimated[node][at].cached(&parts)))
            .collect();
        let req = EngineRequest {
            parts: &parts,
            prompt_tokens: SHARED_TOKENS + OWN_TOKENS,
            answer_tokens: 120,
            cached_elsewhere: 0,
            copied_per_ms: 0.0,
            model: EngineLatencyModel::default(),
            unseen_tokens: 0.0,
        };
        let chosen = choose_engine(req, &views, &mut random).expect("an engine");
        let at = engines.iter().position(|key| *key == chosen.key).expect("known");
        let cached = actual[at].cached(&parts);
        waiting[at] += u64::from(req.prompt_tokens - cached);
        if was_computed[prefix as usize] && cached == 0 {
            recomputed += u64::from(SHARED_TOKENS);
        }
        was_computed[prefix as usize] = true;
        actual[at].note(now, &parts, MEMORY);
        for (other, estimates) in estimated.iter_mut().enumerate() {
            if gossips || other == node {
                estimates[at].note(now, &parts, TRACKED_TOKENS);
            }
        }
    }
    recomputed
}

fn view(key: WorkerKey, at: usize, waiting_tokens: u64, cached: u32) -> EngineView {
    EngineView { waiting_tokens, cached, ..idle::engine(key, at as u64 * 7_919, MEMORY) }
}
