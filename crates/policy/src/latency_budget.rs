//! Whether a request is still worth sending, or is refused at once.

use std::time::Duration;

use rand::{Rng, RngExt};

/// The gap between events after which callers give a stream up, at least.
const GIVE_UP_LEAST: Duration = Duration::from_secs(2);
/// Callers wait this many latency targets for the first event, at least.
const GIVE_UP_TARGETS: u32 = 4;
/// Callers wait this many of the longest pauses between events, at least.
const GIVE_UP_GAPS: u32 = 8;
/// The part of the caller's patience that an expected wait may fill: expectations are off by about
/// this much at high load.
const FILLED: f64 = 0.7;
/// The shortest time to come back, so that a refused caller does not meet the same queue.
const AFTER_LEAST: Duration = Duration::from_millis(100);

/// A `LatencyBudget` is how long a request's caller waits, and from when on an answer is late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyBudget {
    /// The time until the answer, or its first event, after which it is late.
    pub target: Duration,
    /// The longest pause between events of an answer in time; none where it is no stream.
    pub max_gap: Option<Duration>,
    /// The time that is left until the caller's deadline.
    pub remaining: Duration,
}

impl LatencyBudget {
    /// Returns how long the caller waits for the first event.
    pub fn first_event_timeout(&self) -> Duration {
        let Some(gap) = self.max_gap else { return self.remaining };
        let gives_up = GIVE_UP_LEAST.max(self.target * GIVE_UP_TARGETS).max(gap * GIVE_UP_GAPS);
        gives_up.min(self.remaining)
    }

    /// Decides whether a request with an expected wait is sent, or refused with a time to return.
    ///
    /// Under a burst each request sent behind a long queue is late and makes those after it late
    /// too, until callers leave while their prompts are still read. Those whose wait alone fills
    /// the target are told at once to come back when the queue will have been worked off; the rest
    /// is served in time. What a request needs for itself is no ground: large ones would starve.
    pub fn check_wait(&self, wait: Duration, random: &mut dyn Rng) -> Result<(), Duration> {
        let most = self.target.min(self.first_event_timeout().mul_f64(FILLED));
        if wait <= most {
            return Ok(());
        }
        let after = (wait - most).max(AFTER_LEAST);
        Err(after.mul_f64(random.random_range(1.0..1.5)))
    }
}
