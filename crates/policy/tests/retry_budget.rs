//! Retry budgets and hedged requests.

use std::time::Duration;

use bulrushhall_core::{Ran, ServiceName, TeamName};
use bulrushhall_policy::{
    RetryBudget, RetryDecision, RetryOptions,
    retry::{FailedAttempt, GiveUp, Idempotency, Obligation},
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
        idempotency: Idempotency::Idempotent,
        obligation: Obligation::Free,
        attempts,
        time_left: Duration::from_secs(10),
    }
}

// A backend is down and every attempt fails. Three attempts per call would triple the load on the
// remaining servers and prevent recovery.
#[rstest]
fn outage_is_not_amplified(#[values(1, 2, 3)] seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut budget = RetryBudget::new(RetryOptions::default());
    let mut sent = 0;
    for _ in 0..10_000 {
        budget.record_first_attempt(&service(), &team("floor"));
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
    assert!(10_900 <= sent, "the budget is not fully used: {sent} attempts");
}

// All calls of one team fail, and those of another fail occasionally. The first team must not use
// up the budget of the second.
#[test]
fn teams_have_own_budgets() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut budget = RetryBudget::new(RetryOptions::default());
    for _ in 0..200 {
        budget.record_first_attempt(&service(), &team("failing"));
        budget.record_first_attempt(&service(), &team("sound"));
        budget.after_failure(&service(), &team("failing"), failed(1), &mut random);
    }
    let decision = budget.after_failure(&service(), &team("sound"), failed(1), &mut random);
    assert!(matches!(decision, RetryDecision::After(_)));
}

#[rstest]
#[case::not_run(Ran::No, Idempotency::AtMostOnce, None)]
#[case::unknown(Ran::Unknown, Idempotency::AtMostOnce, Some(GiveUp::MayHaveRun))]
#[case::run(Ran::Yes, Idempotency::AtMostOnce, Some(GiveUp::MayHaveRun))]
#[case::lookup(Ran::Unknown, Idempotency::Idempotent, None)]
fn idempotency_decides(
    #[case] ran: Ran,
    #[case] idempotency: Idempotency,
    #[case] expected: Option<GiveUp>,
) {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut budget = RetryBudget::new(RetryOptions::default());
    for _ in 0..20 {
        budget.record_first_attempt(&service(), &team("floor"));
    }
    let attempt = FailedAttempt { ran, idempotency, ..failed(1) };
    let decision = budget.after_failure(&service(), &team("floor"), attempt, &mut random);
    let gave_up = match decision {
        RetryDecision::GiveUp(reason) => Some(reason),
        RetryDecision::After(_) => None,
    };
    assert_eq!(gave_up, expected);
}

// Two nodes handle the same call, with three attempts allowed. The number of attempts is passed on
// with the call, so that the second node does not start again at zero.
#[test]
fn attempts_carry_over() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut budget = RetryBudget::new(RetryOptions::default());
    for _ in 0..100 {
        budget.record_first_attempt(&service(), &team("floor"));
    }
    let decision = budget.after_failure(&service(), &team("floor"), failed(3), &mut random);
    assert_eq!(decision, RetryDecision::GiveUp(GiveUp::Attempts));
}

// An accepted request loses its engine while the budget is exhausted. It was promised an answer, so
// it is still retried, with a longer backoff.
#[test]
fn accepted_requests_are_retried() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut budget = RetryBudget::new(RetryOptions::default());
    let attempt = FailedAttempt { obligation: Obligation::Accepted, ..failed(9) };
    let decision = budget.after_failure(&service(), &team("floor"), attempt, &mut random);
    let RetryDecision::After(backoff) = decision else { panic!("given up: {decision:?}") };
    assert!(Duration::from_secs(1) <= backoff && backoff <= Duration::from_secs(3));
}

#[test]
fn late_retry_is_not_sent() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut budget = RetryBudget::new(RetryOptions::default());
    for _ in 0..100 {
        budget.record_first_attempt(&service(), &team("floor"));
    }
    let attempt = FailedAttempt { time_left: Duration::from_millis(5), ..failed(1) };
    let decision = budget.after_failure(&service(), &team("floor"), attempt, &mut random);
    assert_eq!(decision, RetryDecision::GiveUp(GiveUp::Deadline));
}

#[test]
fn hedges_follow_latency() {
    let mut budget = RetryBudget::new(RetryOptions::default());
    assert_eq!(budget.hedge_after(&service(), Idempotency::Idempotent), None);
    for at in 0..2_000 {
        let slow = at % 50 == 0;
        let took = if slow { Duration::from_secs(1) } else { Duration::from_millis(10) };
        budget.record_latency(&service(), took);
    }
    let after = budget.hedge_after(&service(), Idempotency::Idempotent).expect("known by now");
    assert!(after < Duration::from_millis(200), "{after:?}");
    assert!(Duration::from_millis(8) <= after, "{after:?}");
    assert_eq!(budget.hedge_after(&service(), Idempotency::AtMostOnce), None);
}
