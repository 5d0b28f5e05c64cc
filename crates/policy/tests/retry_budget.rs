//! Budgets of retries and hedges.

use std::time::Duration;

use bulrushhall_core::{Ran, ServiceName, TeamName};
use bulrushhall_policy::{
    RetryBudget, RetryDecision, RetryOptions,
    retry::{FailedAttempt, GiveUp, Obligation, Repeat},
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn service() -> ServiceName {
    ServiceName::new("guild-ledger").expect("a valid name")
}

fn team(name: &str) -> TeamName {
    TeamName::new(name).expect("a valid name")
}

fn failed(attempts: u32) -> FailedAttempt {
    FailedAttempt {
        ran: Ran::No,
        repeat: Repeat::Idempotent,
        obligation: Obligation::Free,
        attempts,
        left: Duration::from_secs(10),
    }
}

// A backend is down and every attempt fails. Each caller's three attempts would triple the load
// on whatever is left, and so keep it down.
#[rstest]
fn outage_is_not_amplified(#[values(1, 2, 3)] seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut budget = RetryBudget::new(RetryOptions::default());
    let mut sent = 0;
    for _ in 0..10_000 {
        budget.note_first(&service(), &team("floor"));
        sent += 1;
        let mut attempts = 1;
        loop {
            let decision =
                budget.after_failure(&service(), &team("floor"), failed(attempts), &mut random);
            if matches!(decision, RetryDecision::GiveUp(_)) {
                break;
            }
            sent += 1;
            attempts += 1;
        }
    }
    assert!(sent <= 11_000, "{sent} attempts for 10,000 calls");
    assert!(10_900 <= sent, "the budget is there to be used: {sent}");
}

// One team's calls all fail, another's now and then. The first must not spend what the second
// needs.
#[test]
fn teams_pay_for_themselves() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut budget = RetryBudget::new(RetryOptions::default());
    for _ in 0..200 {
        budget.note_first(&service(), &team("failing"));
        budget.note_first(&service(), &team("sound"));
        budget.after_failure(&service(), &team("failing"), failed(1), &mut random);
    }
    let decision = budget.after_failure(&service(), &team("sound"), failed(1), &mut random);
    assert!(matches!(decision, RetryDecision::After(_)));
}

#[rstest]
#[case::not_run(Ran::No, Repeat::AtMostOnce, None)]
#[case::unknown(Ran::Unknown, Repeat::AtMostOnce, Some(GiveUp::MayHaveRun))]
#[case::run(Ran::Yes, Repeat::AtMostOnce, Some(GiveUp::MayHaveRun))]
#[case::lookup(Ran::Unknown, Repeat::Idempotent, None)]
fn repeats_are_typed(#[case] ran: Ran, #[case] repeat: Repeat, #[case] expected: Option<GiveUp>) {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut budget = RetryBudget::new(RetryOptions::default());
    for _ in 0..20 {
        budget.note_first(&service(), &team("floor"));
    }
    let attempt = FailedAttempt { ran, repeat, ..failed(1) };
    let decision = budget.after_failure(&service(), &team("floor"), attempt, &mut random);
    let gave_up = match decision {
        RetryDecision::GiveUp(reason) => Some(reason),
        RetryDecision::After(_) => None,
    };
    assert_eq!(gave_up, expected);
}

// Two nodes each try a call three times, not knowing of the other's attempts. The count comes
// with the call, so the second node goes on where the first stopped.
#[test]
fn attempts_carry_over() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut budget = RetryBudget::new(RetryOptions::default());
    for _ in 0..100 {
        budget.note_first(&service(), &team("floor"));
    }
    let decision = budget.after_failure(&service(), &team("floor"), failed(3), &mut random);
    assert_eq!(decision, RetryDecision::GiveUp(GiveUp::Attempts));
}

// An accepted request loses its engine while the budget is spent. It was promised an answer, so
// it goes on, only later.
#[test]
fn accepted_go_on() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut budget = RetryBudget::new(RetryOptions::default());
    let attempt = FailedAttempt { obligation: Obligation::Accepted, ..failed(9) };
    let decision = budget.after_failure(&service(), &team("floor"), attempt, &mut random);
    let RetryDecision::After(pause) = decision else { panic!("given up: {decision:?}") };
    assert!(Duration::from_secs(1) <= pause && pause <= Duration::from_secs(3));
}

#[test]
fn late_retry_is_not_sent() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut budget = RetryBudget::new(RetryOptions::default());
    for _ in 0..100 {
        budget.note_first(&service(), &team("floor"));
    }
    let attempt = FailedAttempt { left: Duration::from_millis(5), ..failed(1) };
    let decision = budget.after_failure(&service(), &team("floor"), attempt, &mut random);
    assert_eq!(decision, RetryDecision::GiveUp(GiveUp::Deadline));
}

#[test]
fn hedges_follow_latency() {
    let mut budget = RetryBudget::new(RetryOptions::default());
    assert_eq!(budget.hedge_after(&service(), Repeat::Idempotent), None);
    for at in 0..2_000 {
        let slow = at % 50 == 0;
        let took = if slow { Duration::from_secs(1) } else { Duration::from_millis(10) };
        budget.note_latency(&service(), took);
    }
    let after = budget.hedge_after(&service(), Repeat::Idempotent).expect("known by now");
    assert!(after < Duration::from_millis(200), "{after:?}");
    assert!(Duration::from_millis(8) <= after, "{after:?}");
    assert_eq!(budget.hedge_after(&service(), Repeat::AtMostOnce), None);
}
