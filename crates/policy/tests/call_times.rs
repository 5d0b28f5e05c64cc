//! How long calls of a plain service take, and which server is chosen by it.

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

// Calls of one service take 7 ms and of another 60, one in a hundred five times as long. With a fixed
// figure the calls of the slow one were sent twice, and a caller of the quick one waited for a server
// that was long gone.
#[rstest]
fn learnt_times(#[values(7, 30, 60)] usual: u64) {
    let mut times = CallTimes::default();
    for call in 0..200 {
        let factor = if call % 100 == 99 { 5 } else { 1 };
        times.note(Duration::from_millis((usual + call % 3) * factor));
    }
    let within = Duration::from_millis(usual)..=Duration::from_millis(usual + 3);
    assert!(within.contains(&times.median()), "{:?}", times.median());
    assert!(within.contains(&times.p95()), "{:?}", times.p95());
}

#[test]
fn first_calls() {
    let mut times = CallTimes::default();
    let before = times.p95();
    times.note(Duration::from_secs(9));
    assert_eq!(times.p95(), before, "one call tells nothing yet");
}

// The wait behind others is as long as the service's own calls take.
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
