//! How long a request may be queued.

use std::time::Duration;

use crate::latency_budget::LatencyBudget;

/// The part of the target that a request's own processing takes from its wait at most: if it counted fully, the longest
/// prompts were answered 0.77 times as often as others (model in `tests/shortage`).
const MAX_SERVICE_SHARE: u32 = 8;

/// The part of the target that the wait at the engine takes from it at most. It is counted as one exchange; a request with a
/// shorter target is urgent, and passes others at the engine.
const MAX_ENGINE_SHARE: u32 = 4;

/// A `WaitingBudget` is the time that a request may be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingBudget {
    /// The time that its caller waits for an answer.
    pub budget: LatencyBudget,
    /// The time between two exchanges of nodes, for which engines have queues of their own.
    pub exchange: Duration,
    /// The time that an engine needs for the first event.
    pub service: Duration,
}

impl WaitingBudget {
    /// Returns how long it may be queued if its first event is to be in time.
    pub fn in_time_wait(&self) -> Duration {
        self.less_service(self.budget.max_wait())
    }

    /// Returns how long it may be queued if its answer still has value after the target.
    pub fn late_wait(&self) -> Duration {
        self.less_service(self.budget.max_late_wait())
    }

    fn less_service(&self, wait: Duration) -> Duration {
        let service = self.service.min(self.budget.target / MAX_SERVICE_SHARE);
        let at_engine = self.exchange.min(self.budget.target / MAX_ENGINE_SHARE);
        wait.saturating_sub(service + at_engine)
    }
}
