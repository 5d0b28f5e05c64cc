//! One route: which requests it takes and how they are handled.

use std::time::Duration;

use bulrushhall_core::ServiceName;

/// A `Kind` tells what may be done again with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Running it again changes nothing.
    Idempotent,
    /// It may run at most once.
    AtMostOnce,
    /// Its answer is a stream of events, and it may run at most once.
    Stream,
    /// Its answer is a stream of events that may be resumed after the last one that arrived.
    ResumableStream,
}

impl Kind {
    /// Returns whether a request may be sent again although it may have run.
    pub fn may_run_again(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::ResumableStream)
    }
}

/// A `Share` is the part of a route's requests that one service gets.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// A `Route` takes the requests of a host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The prefix; it begins and ends with a slash.
    pub prefix: String,
    /// The services among which its requests are split.
    pub shares: Vec<Share>,
    /// What may be done again.
    pub kind: Kind,
    /// The most backend servers to which one request is sent.
    pub attempts: u32,
    /// The longest time until the end of the answer.
    pub timeout: Duration,
    /// The time until the answer, or its first event, for which it counts as in time.
    pub target: Duration,
    /// The longest pause between events of an answer in time, where the route has one.
    pub gap: Option<Duration>,
    /// The rank, 0 being the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub anonymous: bool,
}

impl Route {
    /// Returns the service for a request, drawn by weight from a hash of its id.
    pub fn service(&self, hash: u64) -> Option<&ServiceName> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut at = hash % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if at < weight {
                return Some(&share.service);
            }
            at -= weight;
        }
        None
    }
}
