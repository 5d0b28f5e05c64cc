//! Retry budgets that limit the retries to a service over all nodes.

use std::time::Duration;

use bulrushhall_core::Stamp;
use bulrushhall_policy::{
    node_share::NodeShare,
    windowed_retry_budget::{RetryLimit, WindowedRetryBudget},
};

const LIMIT: RetryLimit =
    RetryLimit { ratio: 0.2, headroom: 50.0, window: Duration::from_secs(10) };
const NODES: u32 = 5;
/// The slots of two windows.
const MAX_SLOTS: usize = 80;

fn share(rank: u32) -> Option<NodeShare> {
    Some(NodeShare { nodes: NODES, rank })
}

// A service fails every call, and every call would be retried. In any window the retries of all
// nodes must stay within the ratio plus the headroom; otherwise a service that is down would get
// twice the load.
#[test]
fn failing_service() {
    let mut nodes = vec![WindowedRetryBudget::default(); NODES as usize];
    let mut retries: Vec<u64> = Vec::new();
    let mut requests_at: Vec<u64> = Vec::new();
    for millis in (0..60_000).step_by(20) {
        let rank = (millis as u32 / 20) % NODES;
        let node = &mut nodes[rank as usize];
        let now = Stamp::from_millis(millis);
        node.note_first(now, LIMIT);
        requests_at.push(millis);
        if node.take(now, LIMIT, share(rank)) {
            retries.push(millis);
        }
    }
    for from in (0..50_000).step_by(500) {
        let is_in_window = |at: &&u64| (from..from + 10_000).contains(*at);
        let in_window = retries.iter().filter(is_in_window).count() as f64;
        let requests = requests_at.iter().filter(is_in_window).count() as f64;
        assert!(
            in_window <= LIMIT.ratio * requests + LIMIT.headroom,
            "{in_window} retries for {requests} requests from {from}"
        );
    }
    assert!(400 < retries.len(), "{}", retries.len());
}

#[test]
fn idle_service() {
    let mut budget = WindowedRetryBudget::default();
    let now = Stamp::from_millis(1);
    let granted = (0..20).filter(|_| budget.take(now, LIMIT, share(0))).count();
    assert_eq!(granted, 10);
    assert!(!budget.take(Stamp::from_millis(10_002), LIMIT, share(0)));
    assert!(budget.take(Stamp::from_millis(10_502), LIMIT, share(0)));
}

// Guards against a process that has joined and uses a part of the headroom that may be used up.
#[test]
fn no_share() {
    let mut budget = WindowedRetryBudget::default();
    assert!(!budget.take(Stamp::from_millis(1), LIMIT, None));
}

// A service answers every call, so there are no retries. The recorded times must be bounded
// nevertheless, or the memory of the node grows with every request.
#[test]
fn healthy_service() {
    let mut budget = WindowedRetryBudget::default();
    for millis in (0..100_000).step_by(10) {
        budget.note_first(Stamp::from_millis(millis), LIMIT);
    }
    assert!(budget.recorded() <= MAX_SLOTS, "{}", budget.recorded());
}

// Guards against parts of small headrooms that are rounded down to nothing at many nodes.
#[test]
fn parts_are_whole() {
    for nodes in [1, 2, 5, 60, 340] {
        let parts = (0..nodes).map(|rank| NodeShare { nodes, rank }.of(52));
        assert_eq!(parts.sum::<u32>(), 52);
    }
}
