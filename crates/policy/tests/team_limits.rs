//! Enforcement of team limits.

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
    let mut limiter = TeamLimiter::default();
    let limits = TeamConfig::default();
    for _ in 0..10_000 {
        assert_eq!(limiter.admit(Stamp(0), &team("workshop"), &limits, 5, 4_096), Ok(()));
    }
    assert_eq!(limiter.concurrent(&team("workshop")), 10_000);
}

// A program of a team sends ten times its limit for an hour. Over all nodes it gets its limit plus
// the initial burst, and the requests of other teams are not affected.
#[rstest]
#[case(1)]
#[case(5)]
#[case(7)]
fn sustained_flood(#[case] nodes: usize) {
    let limits = requests(300);
    let (flooding, other) = (team("archive"), team("workshop"));
    let mut accepted = 0;
    for _ in 0..nodes {
        let mut limiter = TeamLimiter::default();
        let mut now = Stamp(0);
        while now < Stamp::from_millis(3_600_000) {
            if limiter.admit(now, &flooding, &limits, nodes, 10).is_ok() {
                accepted += 1;
                limiter.release(&flooding);
            }
            assert_eq!(limiter.admit(now, &other, &TeamConfig::default(), nodes, 10), Ok(()));
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
    let (mut limiter, limits, team) = (TeamLimiter::default(), requests(60), team("archive"));
    let mut now = Stamp::from_millis(5);
    let limited = loop {
        match limiter.admit(now, &team, &limits, 1, 10) {
            Ok(()) => {}
            Err(limited) => break limited,
        }
    };
    assert_eq!(limited.limit, TeamLimit::Requests);
    let early = now + limited.retry_after / 2;
    now = now + limited.retry_after + Duration::from_millis(1);
    assert!(limiter.admit(now, &team, &limits, 1, 10).is_ok(), "{limited:?}");
    assert!(limited.retry_after <= Duration::from_secs(2), "{limited:?}");
    assert!(early < now);
}

// A request is larger than the tokens of ten seconds, which is the capacity of the bucket. Compared
// with the capacity it would be refused forever.
#[test]
fn larger_than_bucket() {
    let limits = TeamConfig { tokens: Some(Rate { per_minute: 600 }), ..TeamConfig::default() };
    let (mut limiter, team) = (TeamLimiter::default(), team("archive"));
    assert_eq!(limiter.admit(Stamp(0), &team, &limits, 1, 5_000), Ok(()));
    let refused = limiter.admit(Stamp::from_millis(1_000), &team, &limits, 1, 1);
    assert!(matches!(refused, Err(LimitExceeded { limit: TeamLimit::Tokens, .. })), "{refused:?}");
    // Of the 5,000 tokens 100 were available; the debt of 4,900 is refilled at 10 per second.
    let late = limiter.admit(Stamp::from_millis(489_000), &team, &limits, 1, 1);
    assert!(late.is_err(), "{late:?}");
    assert_eq!(limiter.admit(Stamp::from_millis(491_000), &team, &limits, 1, 1), Ok(()));
}

#[test]
fn concurrency() {
    let limits = TeamConfig { at_once: Some(7), ..TeamConfig::default() };
    let (mut limiter, team) = (TeamLimiter::default(), team("archive"));
    // 7 over 5 nodes is 2 per node, rounded up.
    for _ in 0..2 {
        assert_eq!(limiter.admit(Stamp(0), &team, &limits, 5, 1), Ok(()));
    }
    let refused = limiter.admit(Stamp(0), &team, &limits, 5, 1);
    assert!(
        matches!(refused, Err(LimitExceeded { limit: TeamLimit::Concurrency, .. })),
        "{refused:?}"
    );
    limiter.release(&team);
    assert_eq!(limiter.admit(Stamp(0), &team, &limits, 5, 1), Ok(()));
}

// The admission queue refuses requests that are within the limits. If these counted, a team would
// exceed its limits after an overload in which none of its requests ran.
#[test]
fn refunded() {
    let (mut limiter, limits, team) = (TeamLimiter::default(), requests(6), team("archive"));
    for _ in 0..1_000 {
        assert_eq!(limiter.admit(Stamp(0), &team, &limits, 1, 10), Ok(()));
        limiter.refund(&team, 10);
    }
    assert_eq!(limiter.concurrent(&team), 0);
}

#[test]
fn changed_limits() {
    let (mut limiter, team) = (TeamLimiter::default(), team("archive"));
    while limiter.admit(Stamp(0), &team, &requests(60), 1, 1).is_ok() {}
    assert_eq!(limiter.admit(Stamp(0), &team, &TeamConfig::default(), 1, 1), Ok(()));
    assert_eq!(limiter.admit(Stamp(0), &team, &requests(60), 1, 1), Ok(()));
    assert!(limiter.admit(Stamp(0), &team, &requests(0), 1, 1).is_err());
}
