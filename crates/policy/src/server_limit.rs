//! The rate of requests that a backend server accepts from all nodes together, divided among the nodes.

use std::time::Duration;

use bulrushhall_core::{Stamp, bounded_seconds};

use crate::placement::rendezvous_score;

/// `ServerLimitOptions` are the tolerances of a limit, and how much of them nodes plan with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLimitOptions {
    /// The length of the sliding window in which the limit is checked.
    pub window: Duration,
    /// The fraction by which a window may exceed the limit.
    pub overage: f64,
    /// The number of requests by which a window may exceed the limit in addition.
    pub headroom: f64,
    /// The share of this excess that the bursts of all nodes may take up; the rest is for requests in transit
    /// and for nodes that know different members.
    pub burst_share: f64,
    /// The lowest rate per second that nodes use together: without a request, nobody learns that a server has
    /// lifted its limit.
    pub min_per_second: f64,
}

impl Default for ServerLimitOptions {
    fn default() -> Self {
        ServerLimitOptions {
            window: Duration::from_secs(4),
            overage: 0.5,
            headroom: 5.0,
            burst_share: 0.5,
            min_per_second: 0.25,
        }
    }
}

/// A `LimitPart` is one node's part of a limit. A node without a part sends nothing to the server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitPart {
    /// The requests per second.
    pub per_second: f64,
    /// The requests that may be sent at once.
    pub burst: f64,
}

impl ServerLimitOptions {
    /// Returns the part of the node `own` in the limit of `per_second` at `server`; `others` are the other nodes.
    ///
    /// Each part allows at least one request at once. If all of many nodes had a part of a small limit, these
    /// requests alone would exceed it, so only as many nodes have one as there are requests in the excess of a
    /// window. All nodes compute the same ones for a server.
    pub fn part(
        &self,
        per_second: f64,
        server: u64,
        own: u64,
        others: impl IntoIterator<Item = u64>,
    ) -> LimitPart {
        let per_second = per_second.max(self.min_per_second);
        let excess = per_second * self.overage * self.window.as_secs_f64() + self.headroom;
        let burst = excess * self.burst_share;
        let own_score = rendezvous_score(server, own);
        let (mut nodes, mut rank) = (1, 0);
        for other in others {
            nodes += 1;
            rank += usize::from(own_score < rendezvous_score(server, other));
        }
        let holders = (burst as usize).clamp(1, nodes);
        if holders <= rank {
            return LimitPart::default();
        }
        let holders = holders as f64;
        LimitPart { per_second: per_second / holders, burst: burst / holders }
    }
}

/// A `LimitBucket` is the token bucket of one node for one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitBucket {
    level: f64,
    refilled_at: Stamp,
}

impl LimitBucket {
    /// Returns a bucket with one request, for a server that has just set a limit: without it, a service whose
    /// servers all do so would stop until the first refill.
    pub fn with_one_request(now: Stamp) -> LimitBucket {
        LimitBucket { level: 1.0, refilled_at: now }
    }

    /// Returns the time until a request may be sent; none if `part` allows no requests.
    pub fn wait(&self, now: Stamp, part: LimitPart) -> Option<Duration> {
        if part.per_second <= 0.0 {
            return None;
        }
        let missing = (1.0 - self.level_at(now, part)).max(0.0);
        Some(bounded_seconds(missing / part.per_second))
    }

    /// Takes a request, which [`LimitBucket::wait`] allows.
    pub fn take(&mut self, now: Stamp, part: LimitPart) {
        self.level = self.level_at(now, part) - 1.0;
        self.refilled_at = now;
    }

    /// Returns a request that has not reached the server.
    pub fn refund(&mut self) {
        self.level += 1.0;
    }

    fn level_at(&self, now: Stamp, part: LimitPart) -> f64 {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        (self.level + elapsed * part.per_second).min(part.burst)
    }
}
