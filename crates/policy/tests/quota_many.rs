//! A team's limit that many nodes share, each hearing the others a moment late.

use std::time::Duration;

use bulrushhall_core::{Incarnation, Stamp};
use bulrushhall_policy::quota::{Quota, QuotaLimit, QuotaPlan, QuotaReport, QuotaSlack};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const SECONDS: u64 = 40;
const STEP: u64 = 5;
/// The time between two tellings of one node; each has its own phase.
const EXCHANGE: u64 = 250;
/// The longest time that a telling is under way.
const LATE: u64 = 120;
/// What one node may take of a team, on average: the team grows with the nodes.
const RATE_OF_NODE: f64 = 40_000.0;

struct Played {
    taken: Vec<(u64, f64)>,
    asked: f64,
}

/// Lets a team send `times` its limit to the first `asked` of `nodes` nodes.
fn play(nodes: usize, asked: usize, times: f64, limit: QuotaPlan, seed: u64) -> Played {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut quotas = vec![Quota::default(); nodes];
    let phases: Vec<u64> = (0..nodes).map(|_| random.random_range(0..EXCHANGE / STEP)).collect();
    let mut under_way: Vec<(u64, usize, usize, QuotaReport)> = Vec::new();
    let mut played = Played { taken: Vec::new(), asked: 0.0 };
    let mean = 14_000.0;
    for step in 0..SECONDS * 1_000 / STEP {
        let millis = step * STEP;
        let now = Stamp::from_millis(millis);
        for from in 0..nodes {
            if step % (EXCHANGE / STEP) != phases[from] {
                continue;
            }
            for at in (0..nodes).filter(|at| *at != from) {
                let late = random.random_range(5..LATE);
                under_way.push((millis + late, at, from, quotas[from].report(now)));
            }
        }
        under_way.retain(|(due, at, from, told)| {
            let due = *due <= millis;
            if due {
                quotas[*at].receive(now, Incarnation(*from as u64), *told);
            }
            !due
        });
        for quota in &mut quotas[..asked] {
            let rate = RATE_OF_NODE * times * nodes as f64 / asked as f64;
            let chance = rate / mean * STEP as f64 / 1_000.0;
            if !random.random_bool(chance.min(1.0)) {
                continue;
            }
            let tokens = mean * random.random_range(0.2..1.8);
            played.asked += tokens;
            if quota.take(now, limit, nodes, tokens).is_ok() {
                played.taken.push((millis, tokens));
            }
        }
    }
    played
}

fn fullest(taken: &[(u64, f64)]) -> f64 {
    let mut fullest: f64 = 0.0;
    for from in (0..(SECONDS - 8) * 1_000).step_by(100) {
        let within = taken.iter().filter(|(at, _)| (from..from + 8_000).contains(at));
        fullest = fullest.max(within.map(|(_, tokens)| tokens).sum());
    }
    fullest
}

// One team sends five to seven times its limit to all nodes. Each node thinks that there is room at the
// same moment, before it hears what the others took: together they took nothing for half a second and
// then what three seconds allow, and a window held more than the limit with all its slack. A node keeps
// to its part now while a team asks for more than there is.
#[rstest]
fn limit_kept(#[values(1, 5, 30)] nodes: usize, #[values(1.5, 5.0, 7.0)] times: f64) {
    let rate = RATE_OF_NODE * nodes as f64;
    let limit = QuotaLimit { per_second: rate, burst: rate };
    let slack = QuotaSlack { window: Duration::from_secs(8), overage: 0.1, headroom: 140_000.0 };
    let most = (limit.per_second * 8.0 + limit.burst) * 1.1 + slack.headroom;
    for seed in 0..12 {
        let Played { taken, asked } = play(nodes, nodes, times, limit.with_slack(slack), seed);
        let fullest = fullest(&taken);
        assert!(fullest <= most, "seed {seed}: {fullest} in a window that may hold {most}");
        let total: f64 = taken.iter().map(|(_, tokens)| tokens).sum();
        let owed = asked.min(rate * SECONDS as f64);
        assert!(0.97 * owed <= total, "seed {seed}: {total} of {owed} let through");
    }
}

// A team sends to few of the nodes only. A node that let pass its even part would refuse most of what
// is within the limit.
#[rstest]
fn few_asked(#[values(1, 3)] asked: usize, #[values(0.9, 4.0)] times: f64) {
    let nodes = 12;
    let rate = RATE_OF_NODE * nodes as f64;
    let limit = QuotaLimit { per_second: rate, burst: rate };
    let slack = QuotaSlack { window: Duration::from_secs(8), overage: 0.1, headroom: 140_000.0 };
    for seed in 0..4 {
        let played = play(nodes, asked, times, limit.with_slack(slack), seed);
        let total: f64 = played.taken.iter().map(|(_, tokens)| tokens).sum();
        let owed = played.asked.min(rate * SECONDS as f64);
        assert!(0.97 * owed <= total, "seed {seed}: {total} of {owed} let through");
    }
}
