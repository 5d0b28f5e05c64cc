//! A team's limit over several nodes that hear each other, or do not.

use std::time::Duration;

use bulrushhall_core::{Incarnation, Stamp};
use bulrushhall_policy::quota::{Quota, QuotaLimit, QuotaSlack};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const LIMIT: QuotaLimit = QuotaLimit { per_second: 1_000.0, burst: 1_000.0 };
const NODES: usize = 4;
/// The time between two exchanges.
const EXCHANGE: u64 = 250;

/// Lets nodes take as much as they get for some seconds; returns what they took in all.
fn taken(seconds: u64, hear: impl Fn(usize, usize) -> bool) -> f64 {
    let mut nodes = vec![Quota::default(); NODES];
    let mut total = 0.0;
    for millis in (0..seconds * 1_000).step_by(10) {
        let now = Stamp::from_millis(millis);
        if millis % EXCHANGE == 0 {
            for at in 0..NODES {
                for from in 0..NODES {
                    if at != from && hear(at, from) {
                        let told = nodes[from].report(now);
                        nodes[at].receive(now, Incarnation(from as u64), told);
                    }
                }
            }
        }
        for node in &mut nodes {
            if node.take(now, LIMIT, NODES, 10.0).is_ok() {
                total += 10.0;
            }
        }
    }
    total
}

// One team sends far more than its limit to all nodes. Together they may let pass the limit, the burst,
// and what is asked between two exchanges; without the exchange it would be the limit at each node.
#[test]
fn heard_by_all() {
    let total = taken(20, |_, _| true);
    assert!(total < 1_000.0 * 20.0 + 1_000.0 + 1_200.0, "{total}");
    assert!(1_000.0 * 19.0 < total, "{total}");
}

// No node hears another. Each keeps to its equal part, so the sum still keeps to the limit but for the
// bursts.
#[test]
fn heard_by_none() {
    let total = taken(20, |_, _| false);
    assert!(total < 1_000.0 * 20.0 + 4.0 * 1_000.0 + 100.0, "{total}");
}

// Messages pass in one direction only.
#[test]
fn heard_one_way() {
    let total = taken(20, |at, from| at < from);
    assert!(total < 1_000.0 * 20.0 * 1.1 + 4.0 * 1_000.0, "{total}");
}

// A request is larger than what the bucket holds at most. It must pass when the bucket is full, or its
// team could never send it.
#[test]
fn larger_than_burst() {
    let mut quota = Quota::default();
    assert!(quota.take(Stamp(0), LIMIT, 1, 5_000.0).is_ok());
    let after = quota.take(Stamp(0), LIMIT, 1, 5_000.0).expect_err("the bucket is overdrawn");
    let back = Stamp(0) + after + Duration::from_millis(1);
    assert!(quota.take(back, LIMIT, 1, 5_000.0).is_ok());
}

#[test]
fn given_back() {
    let mut quota = Quota::default();
    assert!(quota.take(Stamp(0), LIMIT, 1, 1_000.0).is_ok());
    quota.refund(1_000.0);
    assert!(quota.take(Stamp(0), LIMIT, 1, 900.0).is_ok());
    assert_eq!(quota.own(), 900.0);
}

#[test]
fn no_limit() {
    let mut quota = Quota::default();
    for _ in 0..100 {
        assert!(quota.take(Stamp(0), QuotaLimit::default(), 1, 1e9).is_ok());
    }
}

// All nodes are killed at once while a team uses up its limit. With full buckets after the restart it
// would take its burst five times more within the same few seconds.
#[test]
fn restart_of_all() {
    let start = Stamp::from_millis(1_000);
    let mut nodes = vec![Quota::empty(start); NODES];
    let mut total = 0.0;
    for millis in (1_000..2_000).step_by(10) {
        for node in &mut nodes {
            if node.take(Stamp::from_millis(millis), LIMIT, NODES, 10.0).is_ok() {
                total += 10.0;
            }
        }
    }
    assert!(total <= 1_000.0, "{total}");
}

// A team sends four times its limit, in requests of very different sizes, to five nodes that hear
// each other a moment late; one of them starts anew now and then. No window may hold more than the slack
// allows, and most of what it allows must be served.
#[rstest]
#[case::small(47_000.0, 0.16)]
#[case::large(250_000.0, 0.8)]
fn windows_with_slack(#[case] rate: f64, #[case] asked: f64) {
    let limit = QuotaLimit { per_second: rate, burst: rate };
    let slack = QuotaSlack { window: Duration::from_secs(8), overage: 0.1, headroom: 190_000.0 };
    let most = (limit.per_second * 8.0 + limit.burst) * 1.1 + slack.headroom;
    let wide = limit.with_slack(slack);
    for seed in 0..20 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut nodes = vec![Quota::default(); 5];
        let mut lives: Vec<u64> = (0..5).collect();
        let mut taken: Vec<(u64, f64)> = Vec::new();
        for millis in (0..40_000).step_by(10) {
            let now = Stamp::from_millis(millis);
            if millis % EXCHANGE == 0 {
                for pair in 0..25 {
                    let (at, from) = (pair / 5, pair % 5);
                    if at != from {
                        let (life, told) = (Incarnation(lives[from]), nodes[from].report(now));
                        nodes[at].receive(now, life, told);
                    }
                }
            }
            if random.random_bool(0.001) {
                let at = random.random_range(0..5);
                nodes[at] = Quota::empty(now);
                lives[at] += 5;
            }
            if random.random_bool(asked) {
                let tokens = 2_000.0 * 20.0_f64.powf(random.random_range(0.0..1.0));
                let at = random.random_range(0..5);
                if nodes[at].take(now, wide, 5, tokens).is_ok() {
                    taken.push((millis, tokens));
                }
            }
        }
        let mut fullest: f64 = 0.0;
        for from in (0..32_000).step_by(100) {
            let within = taken.iter().filter(|(at, _)| (from..from + 8_000).contains(at));
            fullest = fullest.max(within.map(|(_, tokens)| tokens).sum());
        }
        assert!(fullest <= most, "seed {seed}: {fullest} above {most}");
        assert!(most * 0.8 < fullest, "seed {seed}: {fullest} of {most}");
    }
}
