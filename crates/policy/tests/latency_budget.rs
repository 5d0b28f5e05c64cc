//! Load shedding by expected wait.

use std::time::Duration;

use bulrushhall_policy::latency_budget::LatencyBudget;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const STREAM: LatencyBudget =
    LatencyBudget { target: millis(800), max_gap: Some(millis(250)), remaining: millis(10_000) };
const CALL: LatencyBudget =
    LatencyBudget { target: millis(100), max_gap: None, remaining: millis(1_500) };

#[rstest]
#[case(STREAM, 3_200)]
#[case(LatencyBudget { target: millis(400), ..STREAM }, 2_000)]
#[case(LatencyBudget { remaining: millis(700), ..STREAM }, 700)]
#[case(CALL, 1_500)]
fn first_event_timeout(#[case] budget: LatencyBudget, #[case] expected: u64) {
    assert_eq!(budget.first_event_timeout(), millis(expected));
}

// A burst fills all engines for seconds. A request behind that queue would be late, and its prompt
// would be computed after its caller has left. It must be refused at once, with a retry delay after
// which the wait is within the target.
#[test]
fn burst() {
    let mut random = Pcg64::seed_from_u64(1);
    assert!(STREAM.check_wait(millis(700), &mut random).is_ok());
    for _ in 0..100 {
        let retry_after =
            STREAM.check_wait(millis(1_800), &mut random).expect_err("it would be late");
        assert!(millis(1_000) <= retry_after && retry_after <= millis(1_500), "{retry_after:?}");
    }
}

// Shortly before the deadline, even a wait within the latency target would use most of the
// remaining time.
#[test]
fn near_deadline() {
    let mut random = Pcg64::seed_from_u64(1);
    let budget = LatencyBudget { remaining: millis(300), ..STREAM };
    assert!(budget.check_wait(millis(250), &mut random).is_err());
    assert!(budget.check_wait(millis(150), &mut random).is_ok());
}

// Guards against streams that are refused when they are resumed while their version has few servers, which have long queues:
// they can go on nowhere else.
#[rstest]
#[case::beyond_target(1_800, true)]
#[case::beyond_patience(2_300, false)]
fn resumed_streams(#[case] wait: u64, #[case] accepted: bool) {
    let mut random = Pcg64::seed_from_u64(1);
    assert!(STREAM.check_wait(millis(wait), &mut random).is_err());
    assert_eq!(STREAM.check_resumed_wait(millis(wait), &mut random).is_ok(), accepted);
}
