//! Repeats at a service, bounded at each node so that the sum over all nodes is.

use std::time::Duration;

use bulrushhall_core::Stamp;
use bulrushhall_policy::windowed_retry_budget::{RetryLimit, WindowedRetryBudget};

const LIMIT: RetryLimit =
    RetryLimit { ratio: 0.2, headroom: 50.0, window: Duration::from_secs(10) };
const NODES: usize = 5;

// A service fails each call, and each call would be repeated. In any window the repeats of all nodes
// must keep to the ratio and the headroom; a service that is down would otherwise get twice the load.
#[test]
fn failing_service() {
    let mut nodes = vec![WindowedRetryBudget::default(); NODES];
    let mut repeats: Vec<u64> = Vec::new();
    let mut firsts: Vec<u64> = Vec::new();
    for millis in (0..60_000).step_by(20) {
        let node = &mut nodes[(millis as usize / 20) % NODES];
        let now = Stamp::from_millis(millis);
        node.note_first(now, LIMIT);
        firsts.push(millis);
        if node.take(now, LIMIT, NODES) {
            repeats.push(millis);
        }
    }
    for from in (0..50_000).step_by(500) {
        let within = |at: &&u64| (from..from + 10_000).contains(*at);
        let seen = repeats.iter().filter(within).count() as f64;
        let asked = firsts.iter().filter(within).count() as f64;
        assert!(seen <= LIMIT.ratio * asked + LIMIT.headroom, "{seen} of {asked} from {from}");
    }
    assert!(400 < repeats.len(), "{}", repeats.len());
}

#[test]
fn idle_service() {
    let mut share = WindowedRetryBudget::default();
    let now = Stamp::from_millis(1);
    let free = (0..20).filter(|_| share.take(now, LIMIT, NODES)).count();
    assert_eq!(free, 8);
    assert!(share.take(Stamp::from_millis(10_002), LIMIT, NODES));
}

// A service answers each call, so that nothing is ever repeated. What is remembered must be bounded all
// the same, or the node's memory grows with every request.
#[test]
fn healthy_service() {
    let mut share = WindowedRetryBudget::default();
    for millis in (0..100_000).step_by(10) {
        share.note_first(Stamp::from_millis(millis), LIMIT);
    }
    assert_eq!(share.remembered(), 1_000);
}
