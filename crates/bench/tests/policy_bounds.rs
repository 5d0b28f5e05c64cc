//! Bounds on the counts of the policy bench, under fixed seeds.

use bulrushhall_bench::policy::{DeploymentSpec, Fleet, Outcome, Recovery, Scenario, Setup, run};

// A third of the Guild: four engines, of which three are left when a zone is lost.
fn third() -> DeploymentSpec {
    let guild = DeploymentSpec::guild();
    DeploymentSpec {
        needed: 3,
        urgent: guild.urgent.map(|rate| rate / 3.0),
        patient: guild.patient.map(|rate| rate / 3.0),
        ..guild
    }
}

fn part(some: u64, all: u64) -> f64 {
    some as f64 / all.max(1) as f64
}

fn in_time(outcome: &Outcome) -> f64 {
    part(outcome.urgent_in_time.iter().sum(), outcome.urgent_arrived.iter().sum())
}

// All reclaimable VMs of the cheapest zone are taken back with five seconds of notice. Callers
// with an urgent question must not notice, and what was computed must not be computed again.
#[test]
fn lost_zone_is_not_noticed() {
    // A third of the Guild has too few surveys for one to outlast the notice.
    let spec = DeploymentSpec::guild();
    let moved = run(&spec, Setup::default(), Scenario::OneZone, 1);
    assert_eq!((moved.refused, moved.expired), (0, 0));
    assert!(0.99 <= in_time(&moved), "{} of urgent requests in time", in_time(&moved));

    let setup = Setup { recovery: Recovery::Restart, ..Setup::default() };
    let restarted = run(&spec, setup, Scenario::OneZone, 1);
    assert!(0 < restarted.recomputed, "the reclaim hit nothing");
    let part = part(moved.recomputed, restarted.recomputed);
    assert!(part <= 0.25, "{} of {} tokens", moved.recomputed, restarted.recomputed);
}

// The largest team sends eight times its load. The four others must not pay for it with refusals
// or late first tokens.
#[test]
fn small_teams_keep_their_part() {
    let outcome = run(&third(), Setup::default(), Scenario::Burst, 2);
    assert!(0 < outcome.refused, "the burst was no overload");
    for team in 1..5 {
        let part = part(outcome.urgent_in_time[team], outcome.urgent_arrived[team]);
        assert!(0.95 <= part, "team {team}: {part} in time");
    }
}

#[test]
fn fleet_costs_half() {
    let spec = third();
    let planned = run(&spec, Setup::default(), Scenario::CalmDay, 2);
    let setup = Setup { fleet: Fleet::OnDemand, ..Setup::default() };
    let dear = run(&spec, setup, Scenario::CalmDay, 2);
    assert!(planned.cost <= dear.cost / 2.0, "{} against {}", planned.cost, dear.cost);
    assert!(0.99 <= in_time(&planned));
}

#[test]
fn seeds_repeat() {
    let spec = third();
    let first = run(&spec, Setup::default(), Scenario::ThreeZones, 3);
    let again = run(&spec, Setup::default(), Scenario::ThreeZones, 3);
    let counts = |outcome: &Outcome| {
        let Outcome { computed, recomputed, refused, urgent_finished, .. } = *outcome;
        (computed, recomputed, refused, urgent_finished, outcome.first_tokens.max())
    };
    assert_eq!(counts(&first), counts(&again));
}
