//! The choice of an engine for a request.

mod idle;

use std::time::Duration;

use bulrushhall_core::Stamp;
use bulrushhall_policy::{
    engine_choice::{EngineRequest, EngineView, choose_engine},
    observed::EngineLatencyModel,
    parts::{CachedParts, PromptPart},
    placement::WorkerKey,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use slotmap::SlotMap;

const PART: PromptPart = PromptPart { id: 7, tokens: 13_300 };

fn engines(count: u64) -> Vec<EngineView> {
    let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let engine = |number| idle::engine(keys.insert(()), number * 7_919, 566_000);
    (0..count).map(engine).collect()
}

fn request(parts: &[PromptPart]) -> EngineRequest<'_> {
    let model = EngineLatencyModel::default();
    EngineRequest {
        parts,
        prompt_tokens: 17_000,
        answer_tokens: 120,
        cached_elsewhere: 0,
        copied_per_ms: 0.0,
        model,
        unseen_tokens: 0.0,
    }
}

#[test]
fn no_engine() {
    let mut random = Pcg64::seed_from_u64(1);
    assert_eq!(choose_engine(request(&[]), &[], &mut random), None);
}

#[test]
fn cached_part() {
    let mut random = Pcg64::seed_from_u64(1);
    let mut views = engines(8);
    views[3].cached = PART.tokens;
    let chosen = choose_engine(request(&[PART]), &views, &mut random).expect("an engine");
    assert_eq!((chosen.key, chosen.prefill_tokens), (views[3].key, 3_700));
    // When the queue there takes longer than computing the part elsewhere, another engine is
    // chosen.
    views[3].waiting_tokens = 40_000;
    let chosen = choose_engine(request(&[PART]), &views, &mut random).expect("an engine");
    assert_ne!(chosen.key, views[3].key);
}

// The only engine that caches a prompt has a queue. Callers would wait behind it, or for another
// engine to compute the whole prompt again, unless that engine copies the cached tokens.
#[test]
fn copied_part() {
    let mut random = Pcg64::seed_from_u64(1);
    let mut views = engines(8);
    views[3].cached = PART.tokens;
    let copying =
        EngineRequest { cached_elsewhere: PART.tokens, copied_per_ms: 400.0, ..request(&[PART]) };
    // A short queue is not worth a copy, which uses memory of a second engine.
    views[3].waiting_tokens = 2_000;
    let chosen = choose_engine(copying, &views, &mut random).expect("an engine");
    assert_eq!((chosen.key, chosen.copied), (views[3].key, 0));
    views[3].waiting_tokens = 12_000;
    let chosen = choose_engine(copying, &views, &mut random).expect("an engine");
    assert_ne!(chosen.key, views[3].key);
    assert!(0 < chosen.copied && chosen.prefill_tokens < 4_000, "{chosen:?}");
    assert!(chosen.first_token < Duration::from_millis(150), "{chosen:?}");
    // Without copies the caller waits, whichever engine is chosen.
    let without_copies = EngineRequest { copied_per_ms: 0.0, ..copying };
    let chosen = choose_engine(without_copies, &views, &mut random).expect("an engine");
    assert!(Duration::from_millis(150) < chosen.first_token, "{chosen:?}");
}

// Nodes without knowledge of each other's requests must send prompts with a common prefix to the
// same few engines, or every engine computes the prefix.
#[test]
fn homes_agree() {
    let views = engines(12);
    for part in 0..20 {
        let parts = [PromptPart { id: part * 31, tokens: 13_300 }];
        let mut chosen = Vec::new();
        for seed in 0..20 {
            let mut random = Pcg64::seed_from_u64(seed);
            chosen.push(choose_engine(request(&parts), &views, &mut random).expect("one").key);
        }
        chosen.sort();
        chosen.dedup();
        assert!(chosen.len() <= 2, "{} engines", chosen.len());
    }
}

// The memory of an engine is full of running requests. Another request would preempt the newest one
// in the middle of its answer, and the prompt of that request would be computed again.
#[test]
fn full_memory() {
    let mut random = Pcg64::seed_from_u64(1);
    let mut views = engines(2);
    views[0].held_tokens = 560_000;
    views[0].cached = PART.tokens;
    let chosen = choose_engine(request(&[PART]), &views, &mut random).expect("an engine");
    assert_eq!(chosen.key, views[1].key);
}

#[test]
fn open_circuit() {
    let mut random = Pcg64::seed_from_u64(1);
    let mut views = engines(2);
    views[0].circuit_open = true;
    views[1].waiting_tokens = 90_000;
    let chosen = choose_engine(request(&[]), &views, &mut random).expect("an engine");
    assert_eq!(chosen.key, views[1].key);
    views[1].circuit_open = true;
    assert!(choose_engine(request(&[]), &views, &mut random).is_some());
}

// In a burst of requests with many different prefixes, the longest queue must be much shorter than
// with a random choice, because the callers behind it get late answers.
#[test]
fn burst_spreads() {
    let longest = |uses_choice: bool| {
        let mut random = Pcg64::seed_from_u64(5);
        let mut views = engines(12);
        let mut caches = vec![CachedParts::default(); 12];
        for number in 0..200 {
            let parts = [PromptPart { id: random.random_range(0..69), tokens: 13_300 }];
            for (view, cache) in views.iter_mut().zip(&caches) {
                view.cached = cache.cached(&parts);
                // All engines compute prompts while the burst arrives.
                view.waiting_tokens = view.waiting_tokens.saturating_sub(1_500);
            }
            let mut at = random.random_range(0..12);
            if uses_choice {
                let chosen = choose_engine(request(&parts), &views, &mut random).expect("one");
                at = views.iter().position(|view| view.key == chosen.key).expect("known");
            }
            let prefill_tokens = 17_000 - views[at].cached;
            views[at].waiting_tokens += u64::from(prefill_tokens);
            caches[at].note(Stamp(number), &parts, 300_000);
        }
        views.iter().map(|view| view.waiting_tokens).max().expect("engines")
    };
    let (chosen, random) = (longest(true), longest(false));
    assert!(chosen * 2 < random, "longest queue: {chosen} tokens, {random} with a random choice");
}

#[test]
fn cache_eviction() {
    let mut cache = CachedParts::default();
    let part = |id| PromptPart { id, tokens: 100 };
    cache.note(Stamp(1), &[part(1), part(2)], 250);
    cache.note(Stamp(2), &[part(1)], 250);
    cache.note(Stamp(3), &[part(3)], 250);
    assert_eq!(cache.cached(&[part(1), part(3)]), 200);
    assert_eq!(cache.cached(&[part(2), part(1)]), 0);
}
