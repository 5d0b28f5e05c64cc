//! What a node tells others of the parts of prompts that it sent.

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

const TOLD_FOR: Duration = Duration::from_secs(1);
const SHARED_TOKENS: u32 = 13_300;
const OWN_TOKENS: u32 = 3_700;
const NODES: usize = 30;
const ENGINES: u64 = 60;
const THINGS: u64 = 500;
const SENDS: u64 = 6_000;
const SENDS_A_SECOND: u64 = 100;
const MEMORY: u64 = 566_000;
const REMEMBERED: u64 = 340_000;

fn part(id: u64) -> PromptPart {
    PromptPart { id, tokens: 100 }
}

fn second(number: u64) -> Stamp {
    Stamp(0) + Duration::from_secs(number)
}

#[test]
fn told_once() {
    let mut recent = RecentParts::default();
    recent.note(second(1), &[part(2), part(1)]);
    recent.note(second(1), &[part(1), part(3)]);
    let mut told = recent.updates(second(1), TOLD_FOR);
    told.sort_by_key(|part| part.id);
    assert_eq!(told, [part(1), part(2), part(3)]);
}

#[test]
fn told_for_a_second() {
    let mut recent = RecentParts::default();
    recent.note(second(1), &[part(1)]);
    recent.note(second(2), &[part(2)]);
    assert_eq!(recent.updates(second(2), TOLD_FOR), [part(2)]);
    assert_eq!(recent.updates(second(3), TOLD_FOR), []);
}

// Guards against messages that grow with every send of a part that others know already, and against others
// that take it for the one used least lately.
#[test]
fn sent_again() {
    let mut recent = RecentParts::default();
    recent.note(second(1), &[part(1)]);
    recent.note(second(2), &[part(1)]);
    assert_eq!(recent.updates(second(2), TOLD_FOR), []);
    recent.note(second(3), &[part(1)]);
    assert_eq!(recent.updates(second(3), TOLD_FOR), [part(1)]);
}

// Thirty nodes send prompts about the same five hundred things to sixty engines, as evenly as callers
// choose nodes. Where nodes don't tell each other what they sent, a thing's prompt is read anew on
// engine after engine, and callers wait for that; told, most of it is found in a cache.
#[test]
fn nodes_learn() {
    let alone = read_again(false);
    let told = read_again(true);
    assert!(told * 2 < alone, "{told} tokens read again against {alone}");
}

// Returns the shared tokens that an engine read although some engine had read them before.
fn read_again(tell: bool) -> u64 {
    let mut random = Pcg64::seed_from_u64(3);
    let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let engines: Vec<WorkerKey> = (0..ENGINES).map(|_| keys.insert(())).collect();
    let mut really = vec![CachedParts::default(); engines.len()];
    let mut believed = vec![vec![CachedParts::default(); engines.len()]; NODES];
    let mut waiting = vec![0_u64; engines.len()];
    let mut seen = vec![false; THINGS as usize];
    let mut again = 0;
    for send in 0..SENDS {
        let now = Stamp(0) + Duration::from_millis(send * 1_000 / SENDS_A_SECOND);
        for tokens in &mut waiting {
            *tokens = tokens.saturating_sub(50 * 1_000 / SENDS_A_SECOND);
        }
        let thing = random.random_range(0..THINGS);
        let own = PromptPart { id: THINGS + send, tokens: OWN_TOKENS };
        let parts = [PromptPart { id: thing, tokens: SHARED_TOKENS }, own];
        let node = random.random_range(0..NODES);
        let views: Vec<EngineView> = engines
            .iter()
            .enumerate()
            .map(|(at, key)| view(*key, at, waiting[at], believed[node][at].cached(&parts)))
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
        let kept = really[at].cached(&parts);
        waiting[at] += u64::from(req.prompt_tokens - kept);
        if seen[thing as usize] && kept == 0 {
            again += u64::from(SHARED_TOKENS);
        }
        seen[thing as usize] = true;
        really[at].note(now, &parts, MEMORY);
        for (other, memories) in believed.iter_mut().enumerate() {
            if tell || other == node {
                memories[at].note(now, &parts, REMEMBERED);
            }
        }
    }
    again
}

fn view(key: WorkerKey, at: usize, waiting_tokens: u64, cached: u32) -> EngineView {
    EngineView { waiting_tokens, cached, ..idle::engine(key, at as u64 * 7_919, MEMORY) }
}
