//! Limits of a team and what nodes plan with.

use std::time::Duration;

/// The share of the maximum usage of a window that nodes plan with; the rest is for usage between
/// two gossip exchanges. With it, a team that sends four times its limit to five nodes, with
/// restarts, stays 5 % below the maximum usage of a window.
const PLANNED_SHARE: f64 = 0.88;
/// The sum of the parts of all nodes, relative to the limit. The reports keep total usage within
/// the limit; with a sum of 1 some of the limit would stay unused.
const PART_SUM: f64 = 1.15;

/// A `QuotaLimit` is the limit of a team over all nodes, in the unit of the quota.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaLimit {
    /// The refill rate per second; 0 means no limit.
    pub per_second: f64,
    /// The capacity of the token bucket.
    pub burst: f64,
}

/// A `QuotaSlack` is the tolerance by which all nodes together may exceed a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaSlack {
    /// The length of the sliding window in which usage is checked.
    pub window: Duration,
    /// The relative amount by which the limit of a window may be exceeded.
    pub overage: f64,
    /// The absolute amount that may be taken in a window in addition.
    pub headroom: f64,
}

impl QuotaLimit {
    /// Returns the limit that nodes enforce, given the slack that operators allow.
    ///
    /// Nodes learn of each other's usage with a delay, so usage in a window exceeds the enforced
    /// limit. The margin for that is as small as possible, since it is refused to a team below its
    /// own limit.
    pub fn with_slack(self, slack: QuotaSlack) -> QuotaPlan {
        let window = slack.window.as_secs_f64();
        if self.per_second <= 0.0 || window <= 0.0 {
            return self.into();
        }
        let window_limit = self.per_second * window + self.burst;
        let max_usage = window_limit * (1.0 + slack.overage) + slack.headroom;
        let per_second = (max_usage * PLANNED_SHARE - self.burst) / window;
        let per_second = per_second.max(self.per_second);
        let spare = (max_usage - per_second * window - self.burst).max(0.0);
        QuotaPlan { limit: QuotaLimit { per_second, ..self }, spare }
    }

    pub(crate) fn part(self, share: f64) -> QuotaLimit {
        QuotaLimit { per_second: self.per_second * share * PART_SUM, burst: self.burst * share }
    }
}

/// A `QuotaPlan` is the limit that nodes enforce for a team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaPlan {
    /// The limit over all nodes.
    pub limit: QuotaLimit,
    /// The amount that a window may hold in addition.
    pub spare: f64,
}

impl From<QuotaLimit> for QuotaPlan {
    fn from(limit: QuotaLimit) -> QuotaPlan {
        QuotaPlan { limit, spare: 0.0 }
    }
}

/// A `QuotaReport` is what a node reports to others about a team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaReport {
    /// The amount that the team took there since the start of the node.
    pub total: f64,
    /// The amount per second that the team requests there.
    pub demand: f64,
}

impl QuotaReport {
    /// Returns whether both are numbers: sums with any other never recover.
    pub fn is_finite(&self) -> bool {
        self.total.is_finite() && self.demand.is_finite()
    }
}
