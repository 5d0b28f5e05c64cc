//! A retry budget over a sliding window, for one service at one node.

use std::{collections::VecDeque, time::Duration};

use bulrushhall_core::Stamp;

/// The share of the limit that is used: the counts of a node and of a backend server differ by the
/// requests that are in flight.
const USABLE_SHARE: f64 = 0.8;

/// A `RetryLimit` is the limit on retries to one service over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// The retries that each request in the window allows.
    pub ratio: f64,
    /// The retries that are allowed in a window in addition.
    pub headroom: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

/// A `RetryAllowance` is what a node may send to one service in a window, and what it has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryAllowance {
    /// The retries that its requests have earned.
    pub earned: f64,
    /// The node's part of the headroom.
    pub headroom: f64,
    /// The retries that were paid.
    pub spent: usize,
}

/// A `WindowedRetryBudget` limits the retries to one service at one node.
///
/// While a backend server is down every call fails, and unlimited retries would multiply the load
/// when capacity is lowest. Each node applies the ratio to its own requests and gets an equal part
/// of the headroom, so the limit holds over all nodes without communication.
#[derive(Clone, Debug, Default)]
pub struct WindowedRetryBudget {
    first_attempts: VecDeque<Stamp>,
    retries: VecDeque<Stamp>,
}

impl WindowedRetryBudget {
    /// Records a request, whether or not it is sent to a backend server.
    pub fn note_first(&mut self, now: Stamp, limit: RetryLimit) {
        self.first_attempts.push_back(now);
        self.remove_expired(now, limit);
    }

    /// Returns the number of recorded requests and retries, which are those of one window.
    pub fn recorded(&self) -> usize {
        self.first_attempts.len() + self.retries.len()
    }

    /// Returns the remaining retries; `nodes` is the number of all nodes, including this one.
    pub fn remaining(&mut self, now: Stamp, limit: RetryLimit, nodes: usize) -> u32 {
        let RetryAllowance { earned, headroom, spent } = self.allowance(now, limit, nodes);
        let remaining = earned + headroom - spent as f64;
        if remaining < 1.0 { 0 } else { remaining as u32 }
    }

    /// Returns what is allowed in the window that ends now, and what was paid in it.
    pub fn allowance(&mut self, now: Stamp, limit: RetryLimit, nodes: usize) -> RetryAllowance {
        self.remove_expired(now, limit);
        RetryAllowance {
            earned: limit.ratio * self.first_attempts.len() as f64 * USABLE_SHARE,
            headroom: limit.headroom / nodes.max(1) as f64 * USABLE_SHARE,
            spent: self.retries.len(),
        }
    }

    fn remove_expired(&mut self, now: Stamp, limit: RetryLimit) {
        for times in [&mut self.first_attempts, &mut self.retries] {
            while times.front().is_some_and(|at| limit.window <= now.since(*at)) {
                times.pop_front();
            }
        }
    }

    /// Takes one retry from the budget; returns whether one remained.
    pub fn take(&mut self, now: Stamp, limit: RetryLimit, nodes: usize) -> bool {
        if self.remaining(now, limit, nodes) == 0 {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}
