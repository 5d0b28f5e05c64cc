//! Limits of backend servers that many nodes keep together.

use std::time::Duration;

use bulrushhall_core::Stamp;
use bulrushhall_policy::server_limit::{LimitBucket, LimitPart, ServerLimitOptions};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const SECONDS: u64 = 60;
const STEP_MS: u64 = 10;
/// The longest time from a decision to the arrival at the server: a connection may be opened first.
const MAX_TRANSIT_MS: u64 = 350;
/// The share of the other nodes that a node may not know yet.
const UNKNOWN_SHARE: f64 = 0.1;

/// The requests per second of each node that could go to the server.
const DEMAND_PER_NODE: f64 = 40.0;

/// How a limit is divided.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    /// By [`ServerLimitOptions::part`].
    Holders,
    /// An equal part of the rate and one request at once for each node.
    Even,
}

struct Load {
    nodes: usize,
    per_second: f64,
    /// How long nobody sends requests first.
    idle: Duration,
}

fn part(way: Way, load: &Load, own: usize, random: &mut Pcg64) -> LimitPart {
    let mut others = Vec::new();
    for node in (0..load.nodes).filter(|node| *node != own) {
        if !random.random_bool(UNKNOWN_SHARE) {
            others.push(node as u64);
        }
    }
    match way {
        Way::Holders => ServerLimitOptions::default().part(load.per_second, 7, own as u64, others),
        Way::Even => {
            LimitPart { per_second: load.per_second / (others.len() + 1) as f64, burst: 1.0 }
        }
    }
}

/// Returns the times at which requests arrive at the server, in milliseconds.
fn simulate(way: Way, load: &Load, seed: u64) -> Vec<u64> {
    let mut random = Pcg64::seed_from_u64(seed);
    let parts: Vec<LimitPart> =
        (0..load.nodes).map(|own| part(way, load, own, &mut random)).collect();
    let mut buckets = vec![LimitBucket::with_one_request(Stamp::from_millis(0)); load.nodes];
    let chance = DEMAND_PER_NODE * STEP_MS as f64 / 1_000.0;
    let mut arrivals = Vec::new();
    let idle = u64::try_from(load.idle.as_millis()).expect("a short time");
    for at in (idle..idle + SECONDS * 1_000).step_by(STEP_MS as usize) {
        let now = Stamp::from_millis(at);
        for (bucket, part) in buckets.iter_mut().zip(&parts) {
            if !random.random_bool(chance) || bucket.wait(now, *part) != Some(Duration::ZERO) {
                continue;
            }
            bucket.take(now, *part);
            arrivals.push(at + random.random_range(0..MAX_TRANSIT_MS));
        }
    }
    arrivals.sort_unstable();
    arrivals
}

fn max_in_window(arrivals: &[u64], window: Duration) -> usize {
    let window = u64::try_from(window.as_millis()).expect("a short window");
    let count = |from: u64| arrivals.iter().filter(|at| (from..from + window).contains(at)).count();
    arrivals.iter().map(|from| count(*from)).max().unwrap_or(0)
}

fn max_allowed(per_second: f64) -> usize {
    let ServerLimitOptions { window, overage, headroom, .. } = ServerLimitOptions::default();
    (per_second * window.as_secs_f64() * (1.0 + overage) + headroom) as usize
}

// Guards against nodes that exceed a limit together: with small limits before many nodes, after a pause in
// which all buckets fill up, and while nodes know different members.
#[rstest]
fn limit_holds(
    #[values(1, 5, 33, 119, 340)] nodes: usize,
    #[values(0.0, 0.4, 1.0, 7.5, 60.0)] per_second: f64,
    #[values(0, 600)] idle: u64,
) {
    let load = Load { nodes, per_second, idle: Duration::from_secs(idle) };
    for seed in 0..6 {
        let arrivals = simulate(Way::Holders, &load, seed);
        let most = max_in_window(&arrivals, ServerLimitOptions::default().window);
        assert!(most <= max_allowed(per_second), "seed {seed}: {most} requests in a window");
        let used = arrivals.len() as f64 / SECONDS as f64;
        let usable = per_second.min(DEMAND_PER_NODE * nodes as f64);
        assert!(0.7 * usable <= used, "seed {seed}: only {used} requests a second");
        assert!(!arrivals.is_empty(), "seed {seed}: nobody learns that the limit is lifted");
    }
}

// The same load breaks a limit that is divided evenly among all nodes.
#[test]
fn even_parts_exceed() {
    let load = Load { nodes: 119, per_second: 1.0, idle: Duration::from_secs(600) };
    let arrivals = simulate(Way::Even, &load, 0);
    let most = max_in_window(&arrivals, ServerLimitOptions::default().window);
    assert!(max_allowed(1.0) < most, "{most} requests in a window");
}

// A request that did not reach the server is not counted.
#[test]
fn refunded_request() {
    let part = LimitPart { per_second: 1.0, burst: 1.0 };
    let now = Stamp::from_millis(1_000);
    let mut bucket = LimitBucket::with_one_request(now);
    assert_eq!(bucket.wait(now, part), Some(Duration::ZERO));
    bucket.take(now, part);
    assert_eq!(bucket.wait(now, part), Some(Duration::from_secs(1)));
    bucket.refund();
    assert_eq!(bucket.wait(now, part), Some(Duration::ZERO));
}
