//! Budgets of calls to the key-value service.

use std::time::Duration;

use bulrushhall_coord::{CallBudget, Outcomes, Purpose, budget::Rate};
use bulrushhall_core::{Ran, Stamp};

// A component of a node calls the service in a loop. It may only exhaust its own budget, as the
// service would otherwise refuse all other callers.
#[test]
fn loop_starves_itself() {
    let rates = [
        (Purpose::Config, Rate { per_second: 2.0, burst: 4.0 }),
        (Purpose::Claim, Rate { per_second: 10.0, burst: 10.0 }),
    ];
    let mut budget = CallBudget::with_rates(Stamp(0), rates);
    let mut taken = 0;
    for millis in 0..10_000 {
        taken += u32::from(budget.take(Stamp::from_millis(millis), Purpose::Config).is_ok());
    }
    assert_eq!(taken, 4 + 19);
    assert!(budget.take(Stamp::from_millis(10_000), Purpose::Claim).is_ok());
}

#[test]
fn error_has_retry_time() {
    let rates = [(Purpose::Config, Rate { per_second: 2.0, burst: 1.0 })];
    let mut budget = CallBudget::with_rates(Stamp(0), rates);
    assert!(budget.take(Stamp(0), Purpose::Config).is_ok());
    let at = budget.take(Stamp(0), Purpose::Config).expect_err("spent");
    assert_eq!(at, Stamp(0) + Duration::from_millis(500));
    assert!(budget.take(at, Purpose::Config).is_ok());
}

#[test]
fn counted_outcomes() {
    let mut budget = CallBudget::new(Stamp(0));
    budget.note(Purpose::Lease, Ran::Yes);
    budget.note(Purpose::Lease, Ran::Unknown);
    budget.note(Purpose::Lease, Ran::No);
    let counted = Outcomes { done: 1, not_done: 1, unknown: 1, held_back: 0 };
    assert_eq!(budget.outcomes(Purpose::Lease), counted);
    assert_eq!(budget.outcomes(Purpose::Config), Outcomes::default());
}
