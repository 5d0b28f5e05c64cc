//! The recent usage and refusals of a team at one node.

use bulrushhall_core::Stamp;
use bulrushhall_policy::quota::QuotaLimit;

use crate::{status::RecentSum, table::QuotaUnit};

/// `TeamCounts` are the usage and the refusals of a team at this node in the last minute.
#[derive(Clone, Copy, Debug)]
pub struct TeamCounts {
    /// The limit of the team over all nodes, as of its last request.
    pub limit: QuotaLimit,
    /// The unit of the limit.
    pub unit: QuotaUnit,
    /// What it used, in the unit of the limit.
    pub used: RecentSum,
    /// What it was refused, in the unit of the limit.
    pub refused: RecentSum,
    /// The number of its refused requests.
    pub refused_requests: RecentSum,
    /// The number of its requests that were refused because no engine would have answered them in time.
    pub refused_queued: RecentSum,
    /// The time of its last refusal.
    pub refused_at: Option<Stamp>,
}

impl Default for TeamCounts {
    fn default() -> Self {
        TeamCounts {
            limit: QuotaLimit::default(),
            unit: QuotaUnit::Requests,
            used: RecentSum::default(),
            refused: RecentSum::default(),
            refused_requests: RecentSum::default(),
            refused_queued: RecentSum::default(),
            refused_at: None,
        }
    }
}

impl TeamCounts {
    /// Notes a request that took `amount` or was refused.
    pub fn note(&mut self, now: Stamp, amount: f64, is_taken: bool) {
        if is_taken {
            self.used.add(now, amount);
            return;
        }
        self.refused.add(now, amount);
        self.refused_requests.add(now, 1.0);
        self.refused_at = Some(now);
    }

    /// Notes a request that was refused because no engine would have answered it in time.
    pub fn note_refused_queued(&mut self, now: Stamp) {
        self.refused_queued.add(now, 1.0);
        self.refused_at = Some(now);
    }

    /// Notes that a request did not run after all.
    pub fn note_refund(&mut self, now: Stamp, amount: f64) {
        self.used.add(now, -amount);
    }
}
