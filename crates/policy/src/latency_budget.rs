//! Load shedding: whether a request is sent or refused at once, by its expected wait.

use std::time::Duration;

use rand::{Rng, RngExt};

/// The minimum time after which callers abandon a stream without events.
const MIN_ABANDON_TIME: Duration = Duration::from_secs(2);
/// The minimum number of latency targets that callers wait for the first event.
const ABANDON_LATENCY_TARGETS: u32 = 4;
/// The minimum number of maximum event gaps that callers wait for the first event.
const ABANDON_GAPS: u32 = 8;
/// The share of the time that the caller waits which the expected wait may use; the rest covers the
/// estimation error at high load.
const MAX_WAIT_SHARE: f64 = 0.7;
/// The minimum retry delay of a refused caller, so that it does not meet the same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A `LatencyBudget` is the time that the caller of a request waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyBudget {
    /// The target latency of the answer or, for a stream, of its first event.
    pub target: Duration,
    /// The target for the gap between two events of a stream; none if the answer is not a stream.
    pub max_gap: Option<Duration>,
    /// The time left until the caller's deadline.
    pub remaining: Duration,
}

impl LatencyBudget {
    /// Returns how long the caller waits for the answer or its first event.
    pub fn first_event_timeout(&self) -> Duration {
        let Some(gap) = self.max_gap else { return self.remaining };
        let abandon_time =
            MIN_ABANDON_TIME.max(self.target * ABANDON_LATENCY_TARGETS).max(gap * ABANDON_GAPS);
        abandon_time.min(self.remaining)
    }

    /// Checks the expected wait of a request; returns the retry delay as an error if the request is
    /// to be refused.
    ///
    /// During a burst, requests sent behind a long queue are late and delay those after them, until
    /// callers abandon requests whose prompts are still being computed. Requests whose wait alone
    /// exceeds the target are refused at once, so that the others are served in time. The retry
    /// delay is at least the time until the queue is short enough, plus jitter. The processing time
    /// of the request itself does not count, or large requests would starve.
    pub fn check_wait(&self, wait: Duration, random: &mut dyn Rng) -> Result<(), Duration> {
        check(wait, self.max_wait(), random)
    }

    /// Returns the longest expected wait of a request that is not refused.
    pub fn max_wait(&self) -> Duration {
        self.target.min(self.patience())
    }

    /// Returns the longest expected wait of a request that resumes a stream, or whose answer still has value after the
    /// target.
    pub fn max_late_wait(&self) -> Duration {
        self.patience()
    }

    /// Checks the expected wait of a request that resumes a stream.
    ///
    /// The stream may go on at the servers of one version only, so it is refused only if its caller would leave first.
    pub fn check_resumed_wait(&self, wait: Duration, random: &mut dyn Rng) -> Result<(), Duration> {
        check(wait, self.max_late_wait(), random)
    }

    fn patience(&self) -> Duration {
        self.first_event_timeout().mul_f64(MAX_WAIT_SHARE)
    }
}

fn check(wait: Duration, max_wait: Duration, random: &mut dyn Rng) -> Result<(), Duration> {
    if wait <= max_wait {
        return Ok(());
    }
    let retry_after = (wait - max_wait).max(MIN_RETRY_AFTER);
    Err(retry_after.mul_f64(random.random_range(1.0..1.5)))
}
