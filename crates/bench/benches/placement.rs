//! Benchmarks one placement decision among 4, 18 and 860 engines, and among a subset of 30 of 860.

use bulrushhall_core::Stamp;
use bulrushhall_policy::{
    Placement, PlacementOptions, PlacementRequest, WorkerKey, WorkerView,
    placement::{PredictedLatency, subset},
    prefix::block_hashes,
};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

/// The number of engines that one node routes to in a large deployment.
const SUBSET: usize = 30;
/// The number of conversations that requests belong to.
const CONVERSATIONS: usize = 200;

fn engines(count: usize) -> Vec<WorkerView> {
    let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let mut views = Vec::new();
    for identity in 0..count as u64 {
        let key = keys.insert(());
        views.push(WorkerView { key, identity, price: identity % 7, ..WorkerView::default() });
    }
    views
}

fn requests() -> Vec<PlacementRequest> {
    let mut requests = Vec::new();
    for conversation in 0..CONVERSATIONS {
        let prompt: String = (0..480).map(|word| format!("c{conversation}w{word} ")).collect();
        let prefix = block_hashes(&prompt);
        requests.push(PlacementRequest {
            prefix,
            prompt_tokens: 480,
            answer_tokens: 128,
            ..PlacementRequest::default()
        });
    }
    requests
}

fn place(c: &mut Criterion, name: &str, workers: &[WorkerView]) {
    let requests = requests();
    let mut placement = PredictedLatency::new(PlacementOptions::default());
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut next = 0;
    c.bench_function(name, |b| {
        b.iter_batched(
            || {
                next = (next + 1) % requests.len();
                next
            },
            |at| placement.place(Stamp(0), &requests[at], workers, &mut random),
            BatchSize::SmallInput,
        );
    });
}

fn placements(c: &mut Criterion) {
    for count in [4, 18, 860] {
        place(c, &format!("place among {count}"), &engines(count));
    }
    let hashes: Vec<(u64, usize)> = (0..860).map(|at| (at as u64 * 7_919, at % 10)).collect();
    let all = engines(860);
    let some: Vec<WorkerView> =
        subset(1, &hashes, SUBSET).into_iter().map(|at| all[at].clone()).collect();
    place(c, "place among 30 of 860", &some);
}

criterion_group!(benches, placements);
criterion_main!(benches);
