//! One node's part of the repeats that a service may get.

use std::{collections::VecDeque, time::Duration};

use bulrushhall_core::Stamp;

/// The part of the limit that is used: what a node counts and what a backend server sees in a
/// window differ by what is on its way.
const USED_SHARE: f64 = 0.8;

/// A `RetryLimit` bounds the repeats at one service over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// The repeats for each request in a window.
    pub ratio: f64,
    /// The repeats that are free in a window.
    pub headroom: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

/// A `WindowedRetryBudget` counts the requests and repeats of one service at one node.
///
/// While a backend server is down each call fails, and repeats without a bound multiply the load
/// just when it can least be carried. Each node keeps to the ratio by its own requests and to an
/// equal part of the headroom, so the sum holds without a message between nodes.
#[derive(Clone, Debug, Default)]
pub struct WindowedRetryBudget {
    firsts: VecDeque<Stamp>,
    repeats: VecDeque<Stamp>,
}

impl WindowedRetryBudget {
    /// Notes a request, whether or not it is sent on.
    pub fn note_first(&mut self, now: Stamp, limit: RetryLimit) {
        self.firsts.push_back(now);
        self.forget(now, limit);
    }

    /// Returns how many requests and repeats are remembered: those of one window.
    pub fn remembered(&self) -> usize {
        self.firsts.len() + self.repeats.len()
    }

    /// Returns the repeats that are left now; `nodes` counts all nodes, this one included.
    pub fn left(&mut self, now: Stamp, limit: RetryLimit, nodes: usize) -> u32 {
        self.forget(now, limit);
        let allowed = limit.ratio * self.firsts.len() as f64 + limit.headroom / nodes.max(1) as f64;
        let left = allowed * USED_SHARE - self.repeats.len() as f64;
        if left < 1.0 { 0 } else { left as u32 }
    }

    fn forget(&mut self, now: Stamp, limit: RetryLimit) {
        for seen in [&mut self.firsts, &mut self.repeats] {
            while seen.front().is_some_and(|at| limit.window <= now.since(*at)) {
                seen.pop_front();
            }
        }
    }

    /// Takes one repeat; returns whether one was left.
    pub fn take(&mut self, now: Stamp, limit: RetryLimit, nodes: usize) -> bool {
        if self.left(now, limit, nodes) == 0 {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}
