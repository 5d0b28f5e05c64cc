//! Bounds on the results of the policy simulation, under fixed seeds.

use bulrushhall_bench::policy::{DeploymentSpec, Fleet, Outcome, Recovery, Scenario, Setup, run};

// A third of the Guild deployment: four engines, of which three remain when a zone is lost.
fn third_of_guild() -> DeploymentSpec {
    let guild = DeploymentSpec::guild();
    DeploymentSpec {
        needed: 3,
        urgent: guild.urgent.map(|rate| rate / 3.0),
        patient: guild.patient.map(|rate| rate / 3.0),
        ..guild
    }
}

fn share(part: u64, all: u64) -> f64 {
    part as f64 / all.max(1) as f64
}

fn in_time(outcome: &Outcome) -> f64 {
    share(outcome.urgent_in_time.iter().sum(), outcome.urgent_arrived.iter().sum())
}

// All reclaimable VMs of the cheapest zone are reclaimed with five seconds of notice. Urgent
// requests must still be answered in time, and at most a quarter of the tokens that restarts would
// recompute may be recomputed.
#[test]
fn reclaimed_zone_is_transparent() {
    // A third of the Guild has too few surveys for one to outlast the notice.
    let spec = DeploymentSpec::guild();
    let moved = run(&spec, Setup::default(), Scenario::OneZone, 1);
    assert_eq!((moved.refused, moved.expired), (0, 0));
    assert!(0.99 <= in_time(&moved), "{} of urgent requests in time", in_time(&moved));

    let setup = Setup { recovery: Recovery::Restart, ..Setup::default() };
    let restarted = run(&spec, setup, Scenario::OneZone, 1);
    assert!(0 < restarted.recomputed, "the reclaim interrupted no answer");
    let share = share(moved.recomputed, restarted.recomputed);
    assert!(share <= 0.25, "{} of {} tokens", moved.recomputed, restarted.recomputed);
}

// The largest team sends eight times its load. The urgent requests of the four others must still
// get their first token in time.
#[test]
fn burst_of_one_team_leaves_others_in_time() {
    let outcome = run(&third_of_guild(), Setup::default(), Scenario::Burst, 2);
    assert!(0 < outcome.refused, "the burst caused no overload");
    for team in 1..5 {
        let share = share(outcome.urgent_in_time[team], outcome.urgent_arrived[team]);
        assert!(0.95 <= share, "team {team}: {share} in time");
    }
}

#[test]
fn planned_fleet_costs_at_most_half_of_on_demand() {
    let spec = third_of_guild();
    let planned = run(&spec, Setup::default(), Scenario::CalmDay, 2);
    let setup = Setup { fleet: Fleet::OnDemand, ..Setup::default() };
    let on_demand = run(&spec, setup, Scenario::CalmDay, 2);
    assert!(planned.cost <= on_demand.cost / 2.0, "{} against {}", planned.cost, on_demand.cost);
    assert!(0.99 <= in_time(&planned));
}

#[test]
fn same_seed_gives_same_result() {
    let spec = third_of_guild();
    let first = run(&spec, Setup::default(), Scenario::ThreeZones, 3);
    let again = run(&spec, Setup::default(), Scenario::ThreeZones, 3);
    let counts = |outcome: &Outcome| {
        let Outcome { computed, recomputed, refused, urgent_finished, .. } = *outcome;
        (computed, recomputed, refused, urgent_finished, outcome.first_tokens.max())
    };
    assert_eq!(counts(&first), counts(&again));
}
