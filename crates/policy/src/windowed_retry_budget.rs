//! A retry budget over a sliding window, for one service at one node.

use std::{collections::VecDeque, time::Duration};

use bulrushhall_core::Stamp;

use crate::{node_share::NodeShare, slot_counts::SlotCounts};

/// The time between the payment of a retry and its arrival at a backend server: retries count for that much longer than a
/// window.
const TRANSIT_TIME: Duration = Duration::from_millis(500);

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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryAllowance {
    /// The retries that its requests have earned.
    pub earned: u32,
    /// The node's part of the headroom.
    pub headroom: u32,
    /// The retries that were paid.
    pub spent: u32,
}

/// A `WindowedRetryBudget` limits the retries to one service at one node.
///
/// While a backend server is down every call fails, and unlimited retries would multiply the load
/// when capacity is lowest. Each node applies the ratio to its own requests and gets an equal part
/// of the headroom, so the limit holds over all nodes without communication.
///
/// Requests earn retries only if as many arrived in the window before. Otherwise requests that move from one node to another, or
/// to the next process of a node, would earn at both within one window.
#[derive(Clone, Debug, Default)]
pub struct WindowedRetryBudget {
    first_attempts: SlotCounts,
    retries: VecDeque<Stamp>,
}

impl Default for RetryLimit {
    fn default() -> Self {
        RetryLimit { ratio: 0.2, headroom: 50.0, window: Duration::from_secs(10) }
    }
}

impl RetryAllowance {
    /// Returns the remaining retries.
    pub fn remaining(self) -> u32 {
        (self.earned + self.headroom).saturating_sub(self.spent)
    }
}

impl WindowedRetryBudget {
    /// Records a request, whether or not it is sent to a backend server.
    pub fn note_first(&mut self, now: Stamp, limit: RetryLimit) {
        self.first_attempts.note(now, limit.window);
    }

    /// Returns the number of entries that are kept.
    pub fn recorded(&self) -> usize {
        self.first_attempts.len() + self.retries.len()
    }

    /// Returns what is allowed in the window that ends now, and what was paid in it; `share` is the node's part of the
    /// headroom, if it has one.
    pub fn allowance(
        &mut self,
        now: Stamp,
        limit: RetryLimit,
        share: Option<NodeShare>,
    ) -> RetryAllowance {
        self.remove_expired(now, limit);
        let (last, before) = self.first_attempts.windows(now, limit.window);
        // A retry is asked for when a request has just arrived, so the window that ends now holds up to one more than most do.
        let requests = last.min(before).saturating_sub(1);
        RetryAllowance {
            earned: (limit.ratio * f64::from(requests)) as u32,
            headroom: share.map_or(0, |share| share.of(limit.headroom as u32)),
            spent: u32::try_from(self.retries.len()).unwrap_or(u32::MAX),
        }
    }

    /// Takes one retry from the budget; returns whether one remained.
    pub fn take(&mut self, now: Stamp, limit: RetryLimit, share: Option<NodeShare>) -> bool {
        if self.allowance(now, limit, share).remaining() == 0 {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns when the retries were paid that still count.
    pub fn spent(&mut self, now: Stamp, limit: RetryLimit) -> impl Iterator<Item = Stamp> {
        self.remove_expired(now, limit);
        self.retries.iter().copied()
    }

    /// Adds retries that the previous process of the node has paid.
    pub fn inherit(&mut self, paid: impl IntoIterator<Item = Stamp>) {
        self.retries.extend(paid);
        self.retries.make_contiguous().sort_unstable();
    }

    fn remove_expired(&mut self, now: Stamp, limit: RetryLimit) {
        let kept_for = limit.window + TRANSIT_TIME;
        while self.retries.front().is_some_and(|at| kept_for <= now.since(*at)) {
            self.retries.pop_front();
        }
    }
}
