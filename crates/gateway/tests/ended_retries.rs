//! Retries that the next process of a node takes over.

use std::time::Duration;

use bulrushhall_core::{Incarnation, NodeName, ServiceName, Stamp};
use bulrushhall_gateway::retries::{EndedRetries, RetryState};
use bulrushhall_policy::{headroom_share::MemberView, windowed_retry_budget::RetryLimit};
use rstest::rstest;

const LIMIT: RetryLimit =
    RetryLimit { ratio: 0.2, headroom: 50.0, window: Duration::from_secs(10) };
const VIEW: MemberView = MemberView { nodes: 5, rank: 0, is_counted: true };

fn service() -> ServiceName {
    ServiceName::new("ledger").expect("a name")
}

fn ended(age_ms: u64, ages: Vec<(u32, u32)>) -> EndedRetries {
    EndedRetries {
        node: NodeName::new("node-1").expect("a name"),
        incarnation: Incarnation(1),
        age_ms,
        services: vec![(service(), ages)],
    }
}

// Guards against a process that sends again what its predecessor has sent, and one that sends nothing although the
// predecessor has told what it sent.
#[rstest]
#[case::stopped_at_once(200, 7)]
#[case::stopped_long_ago(6_000, 0)]
fn rest_is_left(#[case] age_ms: u64, #[case] allowed: usize) {
    let now = Stamp::from_millis(100_000);
    let mut retries = RetryState::new(LIMIT, false);
    retries.note_members(now, VIEW);
    assert!(!retries.check(now, &service()).is_allowed);
    retries.inherit(now, &ended(age_ms, vec![(0, 1), (5, 2)]));
    retries.note_members(now, VIEW);
    let paid = (0..20).filter(|_| retries.pay(now, &service()).is_allowed).count();
    assert_eq!(paid, allowed);
}

// Guards against a node whose retries are counted twice.
#[test]
fn taken_once() {
    let now = Stamp::from_millis(100_000);
    let mut retries = RetryState::new(LIMIT, false);
    for _ in 0..3 {
        retries.inherit(now, &ended(200, vec![(0, 4)]));
    }
    assert_eq!(retries.check(now, &service()).allowance.spent, 4);
}

// Guards against messages that fill the memory of a node.
#[test]
fn too_many() {
    assert!(ended(0, vec![(0, 1); 256]).is_bounded());
    assert!(!ended(0, vec![(0, 1); 257]).is_bounded());
    let paid: usize = ended(0, vec![(0, u32::MAX); 256])
        .paid(Stamp::from_millis(100_000))
        .map(|(_, paid)| paid.len())
        .sum();
    assert_eq!(paid, 10_000);
}
