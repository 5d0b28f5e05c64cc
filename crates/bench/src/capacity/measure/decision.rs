//! The cost of one placement decision.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use bulrushhall_core::Stamp;
use bulrushhall_policy::{
    PlacementOptions, PlacementRegistry, PlacementRequest, WorkerKey, WorkerView,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use crate::capacity::{Point, Slope, measure::NamedSlope};

/// The numbers of workers.
const WORKERS: [usize; 6] = [4, 16, 64, 215, 430, 860];
/// The placement policy that nodes use.
const PLACEMENT: &str = "predicted";
/// How long each number is measured.
const LENGTH: Duration = Duration::from_millis(150);

/// Measures the microseconds of one placement decision against the number of workers.
pub fn measure() -> Vec<NamedSlope> {
    let mut points = Vec::new();
    for count in WORKERS {
        let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
        let mut workers: Vec<WorkerView> = (0..count).map(|_| view(keys.insert(()))).collect();
        let mut random = Pcg64Mcg::seed_from_u64(1);
        let made = PlacementRegistry::default().make(PLACEMENT, &PlacementOptions::default());
        let Some(mut placement) = made else { continue };
        let req = PlacementRequest {
            prefix: (0..32).collect(),
            prompt_tokens: 512,
            answer_tokens: 300,
            ..PlacementRequest::default()
        };
        let started = Instant::now();
        let mut rounds = 0_u32;
        while started.elapsed() < LENGTH {
            let now = Stamp::from_millis(u64::from(rounds));
            let key = black_box(placement.place(now, &req, &workers, &mut random));
            let at = usize::try_from(rounds).unwrap_or(0) % count;
            workers[at].outstanding = u32::from(key.is_some()) + rounds % 7;
            rounds += 1;
        }
        let micros = started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
        points.push(Point { size: count as f64, value: micros });
    }
    vec![("decision_cost", Slope::through("µs for one placement", "workers", points))]
}

fn view(key: WorkerKey) -> WorkerView {
    let price = 90_000;
    WorkerView { key, price, network_latency: Duration::from_millis(1), ..WorkerView::default() }
}
