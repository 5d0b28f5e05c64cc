//! Retry budgets that limit the retries to a service over all nodes.

use std::time::Duration;

use bulrushhall_core::Stamp;
use bulrushhall_policy::windowed_retry_budget::{RetryLimit, WindowedRetryBudget};

const LIMIT: RetryLimit =
    RetryLimit { ratio: 0.2, headroom: 50.0, window: Duration::from_secs(10) };
const NODES: usize = 5;

// A service fails every call, and every call would be retried. In any window the retries of all
// nodes must stay within the ratio plus the headroom; otherwise a service that is down would get
// twice the load.
#[test]
fn failing_service() {
    let mut nodes = vec![WindowedRetryBudget::default(); NODES];
    let mut retries: Vec<u64> = Vec::new();
    let mut requests_at: Vec<u64> = Vec::new();
    for millis in (0..60_000).step_by(20) {
        let node = &mut nodes[(millis as usize / 20) % NODES];
        let now = Stamp::from_millis(millis);
        node.note_first(now, LIMIT);
        requests_at.push(millis);
        if node.take(now, LIMIT, NODES) {
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
    let granted = (0..20).filter(|_| budget.take(now, LIMIT, NODES)).count();
    assert_eq!(granted, 8);
    assert!(budget.take(Stamp::from_millis(10_002), LIMIT, NODES));
}

// A service answers every call, so there are no retries. The recorded times must be bounded
// nevertheless, or the memory of the node grows with every request.
#[test]
fn healthy_service() {
    let mut budget = WindowedRetryBudget::default();
    for millis in (0..100_000).step_by(10) {
        budget.note_first(Stamp::from_millis(millis), LIMIT);
    }
    assert_eq!(budget.recorded(), 1_000);
}
