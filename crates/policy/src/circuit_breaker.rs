//! Which backend servers fail too often to be trusted, from the outcomes of calls alone.

use std::time::Duration;

use bulrushhall_core::Stamp;

/// The part by which the share of failures moves with each outcome: about the last eight count.
const STEP: f64 = 0.12;
/// The share of failures from which a backend server is avoided. Plain services fail 14 of 100
/// calls in good health at one early user, so the bound lies well above.
const AVOIDED_FROM: f64 = 0.4;
/// Failures in a row from which a backend server is avoided at once.
const IN_A_ROW: u32 = 3;
/// How long the first doubt lasts before one call is tried again.
const PAUSE: Duration = Duration::from_millis(800);
/// The longest pause between two such trials.
const PAUSE_MAX: Duration = Duration::from_secs(4);

/// A `CircuitBreaker` is what the outcomes of calls tell about one backend server.
///
/// A health check can be good while requests fail. Callers would see a steady part of their
/// requests fail until someone takes the server out; outcomes show it within a few calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    failure_rate: f64,
    row: u32,
    avoided_until: Option<Stamp>,
    pauses: u32,
}

impl CircuitBreaker {
    /// Notes a call that ended well.
    pub fn record_success(&mut self) {
        self.failure_rate *= 1.0 - STEP;
        self.row = 0;
        if self.failure_rate < AVOIDED_FROM / 2.0 {
            self.pauses = 0;
        }
        if self.failure_rate < AVOIDED_FROM {
            self.avoided_until = None;
        }
    }

    /// Notes a call that failed; returns whether the server is newly avoided.
    pub fn record_failure(&mut self, now: Stamp) -> bool {
        self.failure_rate += (1.0 - self.failure_rate) * STEP;
        self.row += 1;
        if self.failure_rate < AVOIDED_FROM && self.row < IN_A_ROW {
            return false;
        }
        let newly = self.avoided_until.is_none();
        let pause = PAUSE.saturating_mul(1 << self.pauses.min(4)).min(PAUSE_MAX);
        self.pauses += 1;
        self.avoided_until = Some(now + pause);
        newly
    }

    /// Returns whether the server is avoided now. Once the pause is over calls are tried again;
    /// the first that fails begins a longer pause.
    pub fn is_open(&self, now: Stamp) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Returns the share of failures among the last calls, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
