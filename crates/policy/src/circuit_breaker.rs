//! Circuit breakers for backend servers, driven by the outcomes of calls.

use std::time::Duration;

use bulrushhall_core::Stamp;

/// The weight of a new outcome in the moving average of failures, which covers about eight calls.
const OUTCOME_WEIGHT: f64 = 0.12;
/// The failure rate at which a circuit breaker opens. The plain services of one deployment fail 14
/// of 100 calls while healthy, so the threshold is well above that.
const OPEN_FAILURE_RATE: f64 = 0.4;
/// The number of consecutive failures at which a circuit breaker opens, whatever the failure rate.
const OPEN_CONSECUTIVE_FAILURES: u32 = 3;
/// How long a circuit breaker stays open at first.
const MIN_OPEN_TIME: Duration = Duration::from_millis(800);
/// The maximum time that a circuit breaker stays open before calls are tried again.
const MAX_OPEN_TIME: Duration = Duration::from_secs(4);

/// A `CircuitBreaker` stops traffic to a backend server that fails too often.
///
/// Health checks can pass while requests fail. A steady share of the callers' requests would then
/// fail until an operator removes the server; the outcomes of calls show the fault within a few
/// calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    failure_rate: f64,
    consecutive_failures: u32,
    open_until: Option<Stamp>,
    times_opened: u32,
}

impl CircuitBreaker {
    /// Records a successful call.
    pub fn record_success(&mut self) {
        self.failure_rate *= 1.0 - OUTCOME_WEIGHT;
        self.consecutive_failures = 0;
        if self.failure_rate < OPEN_FAILURE_RATE / 2.0 {
            self.times_opened = 0;
        }
        if self.failure_rate < OPEN_FAILURE_RATE {
            self.open_until = None;
        }
    }

    /// Records a failed call; returns whether the circuit breaker has newly opened.
    pub fn record_failure(&mut self, now: Stamp) -> bool {
        self.failure_rate += (1.0 - self.failure_rate) * OUTCOME_WEIGHT;
        self.consecutive_failures += 1;
        if self.failure_rate < OPEN_FAILURE_RATE
            && self.consecutive_failures < OPEN_CONSECUTIVE_FAILURES
        {
            return false;
        }
        let newly_opened = self.open_until.is_none();
        let open_time =
            MIN_OPEN_TIME.saturating_mul(1 << self.times_opened.min(4)).min(MAX_OPEN_TIME);
        self.times_opened += 1;
        self.open_until = Some(now + open_time);
        newly_opened
    }

    /// Returns whether the circuit breaker is open.
    ///
    /// When the open time is over, calls are tried again; the first one that fails opens it for
    /// longer.
    pub fn is_open(&self, now: Stamp) -> bool {
        self.open_until.is_some_and(|until| now < until)
    }

    /// Returns the moving average of failures among recent calls, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
