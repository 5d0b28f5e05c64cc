//! Backend servers that fail while their health checks are good.

use bulrushhall_core::Stamp;
use bulrushhall_policy::circuit_breaker::CircuitBreaker;

#[test]
fn few_failures() {
    let mut doubt = CircuitBreaker::default();
    for call in 0..200 {
        if call % 7 == 0 {
            doubt.record_failure(Stamp::from_millis(call));
        } else {
            doubt.record_success();
        }
    }
    assert!(!doubt.is_open(Stamp::from_millis(200)));
}

// A server resets each call. Callers must not lose more than a few requests to it; and once it is well
// again it must get work again, since a small service has no server to spare.
#[test]
fn broken_and_mended() {
    let mut doubt = CircuitBreaker::default();
    let mut lost = 0;
    for millis in (0..20_000).step_by(10) {
        let now = Stamp::from_millis(millis);
        if doubt.is_open(now) {
            continue;
        }
        if millis < 10_000 {
            doubt.record_failure(now);
            lost += 1;
        } else {
            doubt.record_success();
        }
    }
    assert!(lost < 10, "{lost}");
    assert!(!doubt.is_open(Stamp::from_millis(20_000)));
    assert!(doubt.failure_rate() < 0.1);
}
