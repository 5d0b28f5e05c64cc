//! The usage of a team and the limit that it is held to.

use std::time::Duration;

use bulrushhall_core::{Stamp, TeamName};
use bulrushhall_policy::quota::{Quota, QuotaSlack};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{status::TeamCounts, table::QuotaUnit};

/// The seconds over which usage and refusals are counted.
const SECONDS: f64 = 60.0;

/// A `TeamUnit` is the unit of a team's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TeamUnit {
    /// Each request counts as one.
    Requests,
    /// Each request counts as its tokens.
    Tokens,
}

/// A `Restriction` is what holds a team back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Restriction {
    /// Its limit: requests were refused in the last minute.
    Limit,
    /// The share of its limit at each node: it now requests more than its limit.
    Share,
    /// Its share of the engines while these are short: queued requests were refused in the last minute.
    Engines,
}

/// A `TeamStatus` is the usage and the refusals of a team in the last minute, at one node or over several.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// The team.
    pub team: TeamName,
    /// The unit of `allowed`, `used` and `refused`.
    pub unit: TeamUnit,
    /// What its limit over all nodes allows in a minute, with the burst; none without a limit.
    pub allowed: Option<u64>,
    /// What it used.
    pub used: u64,
    /// What it was refused.
    pub refused: u64,
    /// The number of its refused requests.
    pub refused_requests: u64,
    /// The number of its requests that were refused because no engine would have answered them in time.
    #[serde(default)]
    pub refused_queued: u64,
    /// The time since its last refusal, if there was one in the last minute.
    #[serde(rename = "refused_age_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub refused_age: Option<Duration>,
    /// The share of the limit that a node grants while the team is restricted to it; over several nodes the smallest one.
    pub share: Option<f64>,
    /// The number of nodes at which the team is restricted to a share.
    pub share_nodes: u64,
}

impl TeamStatus {
    /// Returns the status of a team at this node; none if it neither used nor requested anything in the last minute.
    pub fn of(
        team: &TeamName,
        counts: &TeamCounts,
        quota: Option<&Quota>,
        (now, slack, nodes): (Stamp, QuotaSlack, usize),
    ) -> Option<TeamStatus> {
        let (used, refused) = (counts.used.sum(now), counts.refused.sum(now));
        let refused_requests = counts.refused_requests.sum(now);
        let refused_queued = counts.refused_queued.sum(now);
        if used <= 0.0 && refused_requests + refused_queued <= 0.0 {
            return None;
        }
        let limit = counts.limit;
        let allowed = (0.0 < limit.per_second).then_some(limit.per_second * SECONDS + limit.burst);
        let refused_at = counts.refused_at.filter(|_| 0.0 < refused_requests + refused_queued);
        let plan = limit.with_slack(slack);
        let share = quota.and_then(|quota| quota.restricted_share(now, plan, nodes));
        Some(TeamStatus {
            team: team.clone(),
            unit: match counts.unit {
                QuotaUnit::Requests => TeamUnit::Requests,
                QuotaUnit::Tokens { .. } => TeamUnit::Tokens,
            },
            allowed: allowed.map(rounded),
            used: rounded(used),
            refused: rounded(refused),
            refused_requests: rounded(refused_requests),
            refused_queued: rounded(refused_queued),
            refused_age: refused_at.map(|at| now.since(at)),
            share_nodes: u64::from(share.is_some()),
            share: share.map(|share| (share * 1_000.0).round() / 1_000.0),
        })
    }

    /// Returns what holds the team back, if anything does.
    pub fn restriction(&self) -> Option<Restriction> {
        if self.share.is_some() {
            return Some(Restriction::Share);
        }
        if 0 < self.refused_requests {
            return Some(Restriction::Limit);
        }
        (0 < self.refused_queued).then_some(Restriction::Engines)
    }

    /// Adds the usage and the refusals of the same team at another node.
    pub fn add(&mut self, other: TeamStatus) {
        // Nodes differ while a new configuration is being applied.
        if self.unit != other.unit {
            return;
        }
        self.allowed = self.allowed.max(other.allowed);
        self.used += other.used;
        self.refused += other.refused;
        self.refused_requests += other.refused_requests;
        self.refused_queued += other.refused_queued;
        self.refused_age = match (self.refused_age, other.refused_age) {
            (Some(age), Some(more)) => Some(age.min(more)),
            (age, more) => age.or(more),
        };
        self.share_nodes += other.share_nodes;
        self.share = match (self.share, other.share) {
            (Some(share), Some(more)) => Some(share.min(more)),
            (share, more) => share.or(more),
        };
    }
}

fn rounded(amount: f64) -> u64 {
    amount.round() as u64
}
