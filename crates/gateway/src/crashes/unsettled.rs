//! Requests whose answers nobody waits for any more.

use std::{collections::VecDeque, time::Duration};

use bulrushhall_coord::crashes::CrashedRequest;
use bulrushhall_core::Stamp;
use bulrushhall_policy::placement::WorkerKey;

use crate::cluster::as_millis;

/// The maximum number of requests that are remembered.
const MAX_REQUESTS: usize = 1_024;
/// The number from which requests that were answered before are no longer added.
const MAX_WITH_KNOWN: usize = 768;
/// How long a server that ends may have crashed under a request whose caller has left: its record remains for some seconds.
const REMEMBERED_FOR: Duration = Duration::from_secs(6);

/// An `UnsettledRequest` is a request at a server whose answer nobody waits for.
#[derive(Clone, Debug)]
pub struct UnsettledRequest {
    /// The server.
    pub key: WorkerKey,
    /// A hash of its name and start time.
    pub server: u64,
    /// The request, as of the moment at which its caller left.
    pub req: CrashedRequest,
    /// This moment.
    pub at: Stamp,
    /// What is known of the answer.
    pub answer: UnsettledAnswer,
}

/// An `UnsettledAnswer` is what is known of the answer to an [`UnsettledRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsettledAnswer {
    /// It was not awaited.
    Abandoned,
    /// The same, and the request was answered before: the server doesn't crash under it if it answers a later one.
    KnownAbandoned,
    /// It ended with its connection, without a mark of its end.
    Unmarked,
}

/// `UnsettledRequests` are the requests of the last seconds whose callers have left before the end of the answer.
#[derive(Debug, Default)]
pub struct UnsettledRequests {
    requests: VecDeque<UnsettledRequest>,
}

impl UnsettledRequests {
    /// Notes a request.
    pub fn note(&mut self, unsettled: UnsettledRequest) {
        let oldest = unsettled.at;
        self.requests.retain(|known| oldest.since(known.at) < REMEMBERED_FOR);
        let is_known = unsettled.answer == UnsettledAnswer::KnownAbandoned;
        let max = if is_known { MAX_WITH_KNOWN } else { MAX_REQUESTS };
        if self.requests.len() < max {
            self.requests.push_back(unsettled);
        }
    }

    /// Returns whether a server has such requests.
    pub fn has(&self, now: Stamp, key: WorkerKey) -> bool {
        self.requests.iter().any(|it| it.key == key && now.since(it.at) < REMEMBERED_FOR)
    }

    /// Returns the servers that have such requests.
    pub fn servers(&self) -> impl Iterator<Item = (WorkerKey, u64)> {
        self.requests.iter().map(|it| (it.key, it.server))
    }

    /// Removes the requests whose answers ended before a server got a request that it has answered: it did not crash under them.
    /// Returns those whose answers were awaited, with when they began.
    pub fn take_answered(
        &mut self,
        key: WorkerKey,
        sent_at: Stamp,
    ) -> Vec<(Stamp, CrashedRequest)> {
        let mut taken = Vec::new();
        self.requests.retain(|it| {
            let is_answered =
                it.key == key && it.at < sent_at && it.answer != UnsettledAnswer::Abandoned;
            if is_answered && it.answer == UnsettledAnswer::Unmarked {
                let begun = Duration::from_millis(it.req.begun_ms.unwrap_or(it.req.age_ms));
                taken.push((it.at - begun, it.req.clone()));
            }
            !is_answered
        });
        taken
    }

    /// Removes the requests of a server that has ended, and returns them as of that moment.
    pub fn take(&mut self, at: Stamp, server: u64) -> Vec<CrashedRequest> {
        let mut taken = Vec::new();
        self.requests.retain(|it| {
            if it.server != server {
                return true;
            }
            let passed = at.since(it.at);
            if passed < REMEMBERED_FOR {
                let mut req = it.req.clone();
                req.age_ms += as_millis(passed);
                taken.push(req);
            }
            false
        });
        taken
    }
}
