//! Quotas over many nodes that receive each other's reports with a delay.

use std::time::Duration;

use bulrushhall_core::{Incarnation, Stamp};
use bulrushhall_policy::quota::{Quota, QuotaLimit, QuotaPlan, QuotaReport, QuotaSlack};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const SECONDS: u64 = 40;
const STEP: u64 = 5;
/// The time between two reports of a node, in milliseconds; each node has its own phase.
const EXCHANGE: u64 = 250;
/// The maximum transfer time of a report, in milliseconds.
const MAX_DELAY: u64 = 120;
/// The mean rate limit per node; the limit of the team grows with the number of nodes.
const RATE_PER_NODE: f64 = 40_000.0;

struct Usage {
    taken: Vec<(u64, f64)>,
    requested: f64,
}

/// Simulates a team that sends `times` its limit to the first `used_nodes` of `nodes` nodes.
fn simulate(nodes: usize, used_nodes: usize, times: f64, limit: QuotaPlan, seed: u64) -> Usage {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut quotas = vec![Quota::default(); nodes];
    let phases: Vec<u64> = (0..nodes).map(|_| random.random_range(0..EXCHANGE / STEP)).collect();
    let mut in_flight: Vec<(u64, usize, usize, QuotaReport)> = Vec::new();
    let mut usage = Usage { taken: Vec::new(), requested: 0.0 };
    let mean = 14_000.0;
    for step in 0..SECONDS * 1_000 / STEP {
        let millis = step * STEP;
        let now = Stamp::from_millis(millis);
        for from in 0..nodes {
            if step % (EXCHANGE / STEP) != phases[from] {
                continue;
            }
            for at in (0..nodes).filter(|at| *at != from) {
                let delay = random.random_range(5..MAX_DELAY);
                in_flight.push((millis + delay, at, from, quotas[from].report(now)));
            }
        }
        in_flight.retain(|(due, at, from, report)| {
            let due = *due <= millis;
            if due {
                quotas[*at].receive(now, Incarnation(*from as u64), *report);
            }
            !due
        });
        for quota in &mut quotas[..used_nodes] {
            let rate = RATE_PER_NODE * times * nodes as f64 / used_nodes as f64;
            let chance = rate / mean * STEP as f64 / 1_000.0;
            if !random.random_bool(chance.min(1.0)) {
                continue;
            }
            let tokens = mean * random.random_range(0.2..1.8);
            usage.requested += tokens;
            if quota.take(now, limit, nodes, tokens).is_ok() {
                usage.taken.push((millis, tokens));
            }
        }
    }
    usage
}

fn max_window_usage(taken: &[(u64, f64)]) -> f64 {
    let mut max_usage: f64 = 0.0;
    for from in (0..(SECONDS - 8) * 1_000).step_by(100) {
        let within = taken.iter().filter(|(at, _)| (from..from + 8_000).contains(at));
        max_usage = max_usage.max(within.map(|(_, tokens)| tokens).sum());
    }
    max_usage
}

// A team sends up to seven times its limit to all nodes. If all nodes see a refilled bucket before
// they receive reports of each other's usage, they together take nothing for half a second and then
// the amount of three seconds, which exceeds the limit of a window with all its slack. While a team
// requests more than the bucket holds, each node must therefore keep to its part.
#[rstest]
fn limit_holds(#[values(1, 5, 30)] nodes: usize, #[values(1.5, 5.0, 7.0)] times: f64) {
    let rate = RATE_PER_NODE * nodes as f64;
    let limit = QuotaLimit { per_second: rate, burst: rate };
    let slack = QuotaSlack { window: Duration::from_secs(8), overage: 0.1, headroom: 140_000.0 };
    let max_allowed = (limit.per_second * 8.0 + limit.burst) * 1.1 + slack.headroom;
    for seed in 0..12 {
        let Usage { taken, requested } =
            simulate(nodes, nodes, times, limit.with_slack(slack), seed);
        let max_usage = max_window_usage(&taken);
        assert!(
            max_usage <= max_allowed,
            "seed {seed}: {max_usage} in a window that may hold {max_allowed}"
        );
        let total: f64 = taken.iter().map(|(_, tokens)| tokens).sum();
        let expected = requested.min(rate * SECONDS as f64);
        assert!(0.97 * expected <= total, "seed {seed}: {total} of {expected} let through");
    }
}

// A team uses only a few of the nodes. Nodes that admitted only an even part of the limit would
// refuse most of the traffic within the limit.
#[rstest]
fn few_nodes_used(#[values(1, 3)] used_nodes: usize, #[values(0.9, 4.0)] times: f64) {
    let nodes = 12;
    let rate = RATE_PER_NODE * nodes as f64;
    let limit = QuotaLimit { per_second: rate, burst: rate };
    let slack = QuotaSlack { window: Duration::from_secs(8), overage: 0.1, headroom: 140_000.0 };
    for seed in 0..4 {
        let usage = simulate(nodes, used_nodes, times, limit.with_slack(slack), seed);
        let total: f64 = usage.taken.iter().map(|(_, tokens)| tokens).sum();
        let expected = usage.requested.min(rate * SECONDS as f64);
        assert!(0.97 * expected <= total, "seed {seed}: {total} of {expected} let through");
    }
}
