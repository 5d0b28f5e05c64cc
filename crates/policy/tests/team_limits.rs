//! Teams are held to their limits, whatever they send.

use std::time::Duration;

use bulrushhall_core::{
    Stamp, TeamName,
    config::{Rate, TeamConfig},
};
use bulrushhall_policy::team_limits::{LimitExceeded, TeamLimit, TeamLimiter};
use rstest::rstest;

fn team(name: &str) -> TeamName {
    TeamName::new(name).expect("a name")
}

fn requests(per_minute: u32) -> TeamConfig {
    TeamConfig { requests: Some(Rate { per_minute }), ..TeamConfig::default() }
}

#[test]
fn no_limits() {
    let mut gate = TeamLimiter::default();
    let limits = TeamConfig::default();
    for _ in 0..10_000 {
        assert_eq!(gate.admit(Stamp(0), &team("workshop"), &limits, 5, 4_096), Ok(()));
    }
    assert_eq!(gate.at_once(&team("workshop")), 10_000);
}

// A team's program loops and sends ten times its limit for an hour. Over all nodes it gets its
// limit and the burst at the beginning, and the other teams' requests are not touched by it.
#[rstest]
#[case(1)]
#[case(5)]
#[case(7)]
fn sustained_flood(#[case] nodes: usize) {
    let limits = requests(300);
    let (flooding, other) = (team("archive"), team("workshop"));
    let mut accepted = 0;
    for _ in 0..nodes {
        let mut gate = TeamLimiter::default();
        let mut now = Stamp(0);
        while now < Stamp::from_millis(3_600_000) {
            if gate.admit(now, &flooding, &limits, nodes, 10).is_ok() {
                accepted += 1;
                gate.release(&flooding);
            }
            assert_eq!(gate.admit(now, &other, &TeamConfig::default(), nodes, 10), Ok(()));
            now = now + Duration::from_millis(20 * nodes as u64);
        }
    }
    let allowed = 300 * 60;
    let burst = 50;
    assert!(accepted <= allowed + burst + nodes, "{accepted}");
    assert!(allowed - nodes <= accepted, "{accepted}");
}

#[test]
fn retry_time_holds() {
    let (mut gate, limits, team) = (TeamLimiter::default(), requests(60), team("archive"));
    let mut now = Stamp::from_millis(5);
    let limited = loop {
        match gate.admit(now, &team, &limits, 1, 10) {
            Ok(()) => {}
            Err(limited) => break limited,
        }
    };
    assert_eq!(limited.limit, TeamLimit::Requests);
    let early = now + limited.retry_after / 2;
    now = now + limited.retry_after + Duration::from_millis(1);
    assert!(gate.admit(now, &team, &limits, 1, 10).is_ok(), "{limited:?}");
    assert!(limited.retry_after <= Duration::from_secs(2), "{limited:?}");
    assert!(early < now);
}

// One survey is larger than what the limit lets through in ten seconds. Held against the bucket's
// size it would be refused for ever.
#[test]
fn larger_than_bucket() {
    let limits = TeamConfig { tokens: Some(Rate { per_minute: 600 }), ..TeamConfig::default() };
    let (mut gate, team) = (TeamLimiter::default(), team("archive"));
    assert_eq!(gate.admit(Stamp(0), &team, &limits, 1, 5_000), Ok(()));
    let refused = gate.admit(Stamp::from_millis(1_000), &team, &limits, 1, 1);
    assert!(matches!(refused, Err(LimitExceeded { limit: TeamLimit::Tokens, .. })), "{refused:?}");
    // 100 were there, 4,900 are owed, 10 come in a second.
    let late = gate.admit(Stamp::from_millis(489_000), &team, &limits, 1, 1);
    assert!(late.is_err(), "{late:?}");
    assert_eq!(gate.admit(Stamp::from_millis(491_000), &team, &limits, 1, 1), Ok(()));
}

#[test]
fn at_once() {
    let limits = TeamConfig { at_once: Some(7), ..TeamConfig::default() };
    let (mut gate, team) = (TeamLimiter::default(), team("archive"));
    // Two of five nodes' parts: 7 over 5 nodes is 2 for each, rounded up.
    for _ in 0..2 {
        assert_eq!(gate.admit(Stamp(0), &team, &limits, 5, 1), Ok(()));
    }
    let refused = gate.admit(Stamp(0), &team, &limits, 5, 1);
    assert!(
        matches!(refused, Err(LimitExceeded { limit: TeamLimit::Concurrency, .. })),
        "{refused:?}"
    );
    gate.release(&team);
    assert_eq!(gate.admit(Stamp(0), &team, &limits, 5, 1), Ok(()));
}

// The queue refuses what the limits let through. Were the refused requests counted, a team would
// be refused for its limits after an overload in which nothing of it had run.
#[test]
fn withdrawn() {
    let (mut gate, limits, team) = (TeamLimiter::default(), requests(6), team("archive"));
    for _ in 0..1_000 {
        assert_eq!(gate.admit(Stamp(0), &team, &limits, 1, 10), Ok(()));
        gate.refund(&team, 10);
    }
    assert_eq!(gate.at_once(&team), 0);
}

#[test]
fn changed_limits() {
    let (mut gate, team) = (TeamLimiter::default(), team("archive"));
    while gate.admit(Stamp(0), &team, &requests(60), 1, 1).is_ok() {}
    assert_eq!(gate.admit(Stamp(0), &team, &TeamConfig::default(), 1, 1), Ok(()));
    assert_eq!(gate.admit(Stamp(0), &team, &requests(60), 1, 1), Ok(()));
    assert!(gate.admit(Stamp(0), &team, &requests(0), 1, 1).is_err());
}
