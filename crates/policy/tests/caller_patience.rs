//! Which requests are refused at once when engines are full.

use std::time::Duration;

use bulrushhall_policy::latency_budget::LatencyBudget;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const SURVEY: LatencyBudget =
    LatencyBudget { target: millis(800), max_gap: Some(millis(250)), remaining: millis(10_000) };
const ORDER: LatencyBudget =
    LatencyBudget { target: millis(100), max_gap: None, remaining: millis(1_500) };

#[rstest]
#[case(SURVEY, 3_200)]
#[case(LatencyBudget { target: millis(400), ..SURVEY }, 2_000)]
#[case(LatencyBudget { remaining: millis(700), ..SURVEY }, 700)]
#[case(ORDER, 1_500)]
fn first_event_timeout(#[case] patience: LatencyBudget, #[case] expected: u64) {
    assert_eq!(patience.first_event_timeout(), millis(expected));
}

// A burst fills all engines for seconds. A request behind that queue would be late, and its prompt would
// be read while its caller leaves; it is told at once when the queue will have been worked off.
#[test]
fn burst() {
    let mut random = Pcg64::seed_from_u64(1);
    assert!(SURVEY.check_wait(millis(700), &mut random).is_ok());
    for _ in 0..100 {
        let after = SURVEY.check_wait(millis(1_800), &mut random).expect_err("it would be late");
        assert!(millis(1_000) <= after && after <= millis(1_500), "{after:?}");
    }
}

// Little time is left. Even a wait within the latency target would take most of it.
#[test]
fn little_time() {
    let mut random = Pcg64::seed_from_u64(1);
    let patience = LatencyBudget { remaining: millis(300), ..SURVEY };
    assert!(patience.check_wait(millis(250), &mut random).is_err());
    assert!(patience.check_wait(millis(150), &mut random).is_ok());
}
