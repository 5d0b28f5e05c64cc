//! The engine for a request, under loads of the kinds that callers bring.

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
    let pace = EngineLatencyModel::default();
    EngineRequest {
        parts,
        prompt_tokens: 17_000,
        answer_tokens: 120,
        cached_elsewhere: 0,
        copied_per_ms: 0.0,
        model: pace,
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
    // Once the queue there is longer than reading the part elsewhere, the part spreads.
    views[3].waiting_tokens = 40_000;
    let chosen = choose_engine(request(&[PART]), &views, &mut random).expect("an engine");
    assert_ne!(chosen.key, views[3].key);
}

// The only engine that keeps a prompt has a queue. Callers wait behind it, or for another engine that
// reads the whole prompt anew, unless that engine copies what the first one keeps.
#[test]
fn copied_part() {
    let mut random = Pcg64::seed_from_u64(1);
    let mut views = engines(8);
    views[3].cached = PART.tokens;
    let copying =
        EngineRequest { cached_elsewhere: PART.tokens, copied_per_ms: 400.0, ..request(&[PART]) };
    // A short queue is waited for: a copy takes room in a second memory.
    views[3].waiting_tokens = 2_000;
    let chosen = choose_engine(copying, &views, &mut random).expect("an engine");
    assert_eq!((chosen.key, chosen.copied), (views[3].key, 0));
    views[3].waiting_tokens = 12_000;
    let chosen = choose_engine(copying, &views, &mut random).expect("an engine");
    assert_ne!(chosen.key, views[3].key);
    assert!(0 < chosen.copied && chosen.prefill_tokens < 4_000, "{chosen:?}");
    assert!(chosen.first_token < Duration::from_millis(150), "{chosen:?}");
    // Where engines can't copy, the caller waits, wherever the request goes.
    let reading = EngineRequest { copied_per_ms: 0.0, ..copying };
    let chosen = choose_engine(reading, &views, &mut random).expect("an engine");
    assert!(Duration::from_millis(150) < chosen.first_token, "{chosen:?}");
}

// Nodes that know nothing of each other's sends must send prompts that begin alike to the same few
// engines, or each engine reads them anew.
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

// An engine's memory is full of running requests. One more would push the newest out in the middle of
// its answer, and its prompt would be read again.
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
fn avoided_engine() {
    let mut random = Pcg64::seed_from_u64(1);
    let mut views = engines(2);
    views[0].circuit_open = true;
    views[1].waiting_tokens = 90_000;
    let chosen = choose_engine(request(&[]), &views, &mut random).expect("an engine");
    assert_eq!(chosen.key, views[1].key);
    views[1].circuit_open = true;
    assert!(choose_engine(request(&[]), &views, &mut random).is_some());
}

// A burst of requests about many things. Compared with a random choice, the longest queue has to stay
// short: the callers behind it are those who get their answers late.
#[test]
fn burst_spreads() {
    let longest = |chooses: bool| {
        let mut random = Pcg64::seed_from_u64(5);
        let mut views = engines(12);
        let mut memories = vec![CachedParts::default(); 12];
        for number in 0..200 {
            let parts = [PromptPart { id: random.random_range(0..69), tokens: 13_300 }];
            for (view, memory) in views.iter_mut().zip(&memories) {
                view.cached = memory.cached(&parts);
                // All engines read on while the burst comes in.
                view.waiting_tokens = view.waiting_tokens.saturating_sub(1_500);
            }
            let mut at = random.random_range(0..12);
            if chooses {
                let chosen = choose_engine(request(&parts), &views, &mut random).expect("one");
                at = views.iter().position(|view| view.key == chosen.key).expect("known");
            }
            let to_read = 17_000 - views[at].cached;
            views[at].waiting_tokens += u64::from(to_read);
            memories[at].note(Stamp(number), &parts, 300_000);
        }
        views.iter().map(|view| view.waiting_tokens).max().expect("engines")
    };
    let (chosen, random) = (longest(true), longest(false));
    assert!(chosen * 2 < random, "{chosen} against {random}");
}

#[test]
fn memory_yields() {
    let mut memory = CachedParts::default();
    let part = |id| PromptPart { id, tokens: 100 };
    memory.note(Stamp(1), &[part(1), part(2)], 250);
    memory.note(Stamp(2), &[part(1)], 250);
    memory.note(Stamp(3), &[part(3)], 250);
    assert_eq!(memory.cached(&[part(1), part(3)]), 200);
    assert_eq!(memory.cached(&[part(2), part(1)]), 0);
}
