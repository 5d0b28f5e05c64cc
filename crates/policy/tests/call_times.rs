//! Call latency estimates of plain services, and the choice of a server by them.

use std::time::Duration;

use bulrushhall_policy::{
    observed::CallTimes,
    placement::WorkerKey,
    server_choice::{ServerView, choose_server},
};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;
use slotmap::SlotMap;

// Calls take between 7 ms and 60 ms, depending on the service, and one in a hundred takes five
// times as long. With a fixed timeout, the calls of a slow service would be sent twice, and callers
// of a fast one would wait too long for a server that has failed.
#[rstest]
fn learned_latency(#[values(7, 30, 60)] typical: u64) {
    let mut times = CallTimes::default();
    for call in 0..200 {
        let factor = if call % 100 == 99 { 5 } else { 1 };
        times.note(Duration::from_millis((typical + call % 3) * factor));
    }
    let within = Duration::from_millis(typical)..=Duration::from_millis(typical + 3);
    assert!(within.contains(&times.median()), "{:?}", times.median());
    assert!(within.contains(&times.p95()), "{:?}", times.p95());
}

#[test]
fn first_calls() {
    let mut times = CallTimes::default();
    let initial = times.p95();
    times.note(Duration::from_secs(9));
    assert_eq!(times.p95(), initial, "one call is not enough for an estimate");
}

// The expected wait behind other calls depends on the latency of the service.
#[test]
fn expected_wait() {
    let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let view = ServerView {
        key: keys.insert(()),
        slots: 6,
        calls: 11,
        network_latency: Duration::ZERO,
        failure_rate: 0.0,
        circuit_open: false,
    };
    let mut random = Pcg64::seed_from_u64(1);
    let call = Duration::from_millis(30);
    let (_, wait) = choose_server(&[view], call, &mut random).expect("a server");
    assert_eq!(wait, Duration::from_millis(30));
}
