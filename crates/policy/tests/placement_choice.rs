//! Choice of engines by prediction, cache hints and load.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::Stamp;
use bulrushhall_policy::{
    LoadReport, Placement, PlacementOptions, PlacementRegistry, PlacementRequest, WorkerKey,
    WorkerView,
    placement::{PredictedLatency, Stage, WorkerRole, subset},
    prefix::block_hashes,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use slotmap::SlotMap;

fn engines(count: u64) -> Vec<WorkerView> {
    let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let mut views = Vec::new();
    for at in 0..count {
        let key = keys.insert(());
        views.push(WorkerView { key, identity: at + 1, ..WorkerView::default() });
    }
    views
}

fn prompt(name: &str, words: usize) -> PlacementRequest {
    let text: String = (0..words).map(|at| format!("{name}{at} ")).collect();
    PlacementRequest {
        prefix: block_hashes(&text),
        prompt_tokens: u32::try_from(words).expect("a short prompt"),
        answer_tokens: 100,
        ..PlacementRequest::default()
    }
}

fn choices(
    placement: &mut dyn Placement,
    workers: &[WorkerView],
    req: &PlacementRequest,
) -> BTreeMap<WorkerKey, usize> {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut counts = BTreeMap::new();
    for _ in 0..100 {
        let placed = placement.place(Stamp(0), req, workers, &mut random).expect("an open engine");
        *counts.entry(placed.worker).or_default() += 1;
    }
    counts
}

#[test]
fn registry_knows_all() {
    let registry = PlacementRegistry::default();
    let names: Vec<&str> = registry.descriptors().map(|descriptor| descriptor.name).collect();
    let expected = [
        "least-outstanding",
        "predicted",
        "prefix-affinity",
        "random",
        "round-robin",
        "two-choices",
    ];
    assert_eq!(names, expected);
    assert!(registry.make("unheard-of", &PlacementOptions::default()).is_none());
}

// A VM is leaving, or an engine has just failed for this request. Work sent there is lost again.
#[rstest]
fn closed_and_failed_are_avoided(
    #[values("predicted", "random", "round-robin", "two-choices", "prefix-affinity")] name: &str,
) {
    let registry = PlacementRegistry::default();
    let mut placement = registry.make(name, &PlacementOptions::default()).expect("registered");
    let mut workers = engines(4);
    workers[0].open = false;
    let mut req = prompt("a", 64);
    req.avoid = vec![workers[1].key];
    let counts = choices(&mut *placement, &workers, &req);
    assert!(!counts.contains_key(&workers[0].key));
    assert!(!counts.contains_key(&workers[1].key));

    req.avoid = workers.iter().map(|worker| worker.key).collect();
    let counts = choices(&mut *placement, &workers, &req);
    assert!(!counts.is_empty(), "an engine that failed is better than none");
    for worker in &mut workers {
        worker.open = false;
    }
    let mut random = Pcg64Mcg::seed_from_u64(1);
    assert_eq!(placement.place(Stamp(0), &req, &workers, &mut random), None);
}

#[test]
fn held_prefix_is_found() {
    let mut placement = PredictedLatency::new(PlacementOptions::default());
    let workers = engines(8);
    let req = prompt("conversation", 480);
    for &block in &req.prefix {
        placement.note_cache(workers[5].key, block, true);
    }
    assert_eq!(choices(&mut placement, &workers, &req)[&workers[5].key], 100);
}

// Cache events are lost. An engine that holds a whole conversation but for one lost event must
// still be found, or each gap costs the prompt anew.
#[test]
fn gaps_do_no_harm() {
    let mut placement = PredictedLatency::new(PlacementOptions::default());
    let workers = engines(8);
    let req = prompt("conversation", 480);
    for (at, &block) in req.prefix.iter().enumerate() {
        if at % 5 != 2 {
            placement.note_cache(workers[5].key, block, true);
        }
    }
    assert_eq!(choices(&mut placement, &workers, &req)[&workers[5].key], 100);
}

// All requests share one long prefix. Sending them all to the engine that holds it would make
// first tokens wait there while the others idle.
#[test]
fn full_holder_is_left() {
    let mut placement = PredictedLatency::new(PlacementOptions::default());
    let mut workers = engines(8);
    let req = prompt("shared", 480);
    for &block in &req.prefix {
        placement.note_cache(workers[5].key, block, true);
    }
    workers[5].reported_running = 32;
    workers[5].reported_waiting = 20;
    assert!(!choices(&mut placement, &workers, &req).contains_key(&workers[5].key));
}

// Five nodes see the same reports. If each took the same best engine, that one would be flooded
// until the next report.
#[test]
fn equals_share_the_work() {
    let mut placement = PredictedLatency::new(PlacementOptions::default());
    let workers = engines(8);
    let counts = choices(&mut placement, &workers, &PlacementRequest::default());
    assert!(4 <= counts.len(), "{counts:?}");
    assert!(counts.values().all(|count| *count <= 40), "{counts:?}");
}

// Nodes that have never talked place one conversation on the same engine, so that its prefix is
// computed once.
#[test]
fn nodes_agree_on_homes() {
    let workers = engines(12);
    for conversation in ["a", "b", "c", "d", "e"] {
        let req = prompt(conversation, 320);
        let mut homes = Vec::new();
        for seed in 0..5 {
            let mut placement = PredictedLatency::new(PlacementOptions::default());
            let mut random = Pcg64Mcg::seed_from_u64(seed);
            homes.push(placement.place(Stamp(0), &req, &workers, &mut random));
        }
        homes.dedup();
        assert_eq!(homes.len(), 1);
    }
}

#[rstest]
#[case(Stage::Whole, WorkerRole::Both, true)]
#[case(Stage::Whole, WorkerRole::Prefill, false)]
#[case(Stage::Prefill, WorkerRole::Prefill, true)]
#[case(Stage::Prefill, WorkerRole::Decode, false)]
#[case(Stage::Decode, WorkerRole::Decode, true)]
#[case(Stage::Decode, WorkerRole::Both, true)]
fn roles_bind(#[case] stage: Stage, #[case] role: WorkerRole, #[case] fits: bool) {
    let mut workers = engines(1);
    workers[0].role = role;
    let req = PlacementRequest { stage, ..prompt("a", 64) };
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let placed = PredictedLatency::default().place(Stamp(0), &req, &workers, &mut random);
    assert_eq!(placed.is_some(), fits);
}

// A report shows 2,000 prompt tokens waiting, but it is half a second old. Counted as still
// waiting they would keep work away from an engine that is idle by now.
#[test]
fn old_backlog_fades() {
    let view = WorkerView { reported_backlog: 2_000, ..WorkerView::default() };
    assert_eq!(view.backlog(Stamp(0)), 2_000);
    assert_eq!(view.backlog(Stamp::from_millis(250)), 1_000);
    assert_eq!(view.backlog(Stamp::from_millis(600)), 0);
    let report = LoadReport { step: Duration::from_millis(20), ..LoadReport::default() };
    assert_eq!(report.backlog, 0);
}

#[test]
fn subsets_are_even_and_steady() {
    let engines: Vec<(u64, usize)> = (0..860).map(|at| (at as u64 * 7_919 + 13, at % 10)).collect();
    let mut nodes_of = vec![0; engines.len()];
    let mut moved = 0;
    for node in 0..340 {
        let chosen = subset(node * 104_729 + 7, &engines, 30);
        assert_eq!(chosen.len(), 30);
        for zone in 0..10 {
            assert_eq!(chosen.iter().filter(|at| engines[**at].1 == zone).count(), 3);
        }
        for &at in &chosen {
            nodes_of[at] += 1;
        }
        let fewer = subset(node * 104_729 + 7, &engines[..859], 30);
        moved += chosen.iter().filter(|at| !fewer.contains(at)).count();
    }
    assert!(nodes_of.iter().all(|count| 1 <= *count), "an engine that no node uses");
    assert!(nodes_of.iter().all(|count| *count <= 30), "{:?}", nodes_of.iter().max());
    assert!(moved <= 30, "{moved} places changed when one engine went");
}
