//! Circuit breakers of backend servers that fail while their health checks pass.

use bulrushhall_core::Stamp;
use bulrushhall_policy::circuit_breaker::CircuitBreaker;

#[test]
fn occasional_failures() {
    let mut breaker = CircuitBreaker::default();
    for call in 0..200 {
        if call % 7 == 0 {
            breaker.record_failure(Stamp::from_millis(call));
        } else {
            breaker.record_success();
        }
    }
    assert!(!breaker.is_open(Stamp::from_millis(200)));
}

// A server that resets every call must cost the callers only a few requests. Once it has recovered
// it must get traffic again, since a small service has no spare server.
#[test]
fn failure_and_recovery() {
    let mut breaker = CircuitBreaker::default();
    let mut failed = 0;
    for millis in (0..20_000).step_by(10) {
        let now = Stamp::from_millis(millis);
        if breaker.is_open(now) {
            continue;
        }
        if millis < 10_000 {
            breaker.record_failure(now);
            failed += 1;
        } else {
            breaker.record_success();
        }
    }
    assert!(failed < 10, "{failed}");
    assert!(!breaker.is_open(Stamp::from_millis(20_000)));
    assert!(breaker.failure_rate() < 0.1);
}
