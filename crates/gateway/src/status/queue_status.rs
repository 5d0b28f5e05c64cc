//! The queued requests of a service.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{ServiceName, Stamp, TeamName};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::waiting::ServiceQueue;

/// The maximum number of teams that a node reports for a service.
const MAX_TEAMS: usize = 64;

/// A `QueueStatus` is the queue of a service, at one node or over several.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// The service.
    pub service: ServiceName,
    /// The number of queued requests.
    pub requests: u64,
    /// Their work, in tokens.
    pub tokens: u64,
    /// How long requests have been queued, over pauses of less than two seconds; none if that is not known.
    #[serde(rename = "since_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub since: Option<Duration>,
    /// The queued requests by urgency, the most urgent first.
    pub by_urgency: Vec<UrgencyQueue>,
    /// The queued requests by team, those with the most tokens first.
    pub by_team: Vec<TeamQueue>,
    /// The number of teams that are left out.
    #[serde(default)]
    pub omitted_teams: u64,
}

/// An `UrgencyQueue` is the queued requests of one urgency.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UrgencyQueue {
    /// The urgency; 0 is the most urgent.
    pub urgency: u8,
    /// The number of requests.
    pub requests: u64,
    /// Their work, in tokens.
    pub tokens: u64,
}

/// A `TeamQueue` is the queued requests of one team.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamQueue {
    /// The team.
    pub team: TeamName,
    /// The number of requests.
    pub requests: u64,
    /// Their work, in tokens.
    pub tokens: u64,
    /// The time since the arrival of the oldest one.
    #[serde(rename = "oldest_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub oldest: Duration,
}

impl QueueStatus {
    /// Returns an empty queue.
    pub fn new(service: ServiceName) -> QueueStatus {
        QueueStatus {
            service,
            requests: 0,
            tokens: 0,
            since: None,
            by_urgency: Vec::new(),
            by_team: Vec::new(),
            omitted_teams: 0,
        }
    }

    /// Returns the status of a node's queue.
    pub fn of(service: &ServiceName, queue: &ServiceQueue, now: Stamp) -> QueueStatus {
        let mut status = QueueStatus::new(service.clone());
        status.since = queue.shortage.lasts(now);
        let mut by_urgency: BTreeMap<u8, UrgencyQueue> = BTreeMap::new();
        let mut by_team: BTreeMap<&TeamName, TeamQueue> = BTreeMap::new();
        for req in queue.queue.requests() {
            let (tokens, age) = (u64::from(req.work), now.since(req.arrived));
            status.requests += 1;
            status.tokens += tokens;
            let urgency = req.rank;
            let sum = by_urgency.entry(urgency).or_insert(UrgencyQueue {
                urgency,
                requests: 0,
                tokens: 0,
            });
            sum.requests += 1;
            sum.tokens += tokens;
            let sum = by_team.entry(&req.team).or_insert_with(|| TeamQueue {
                team: req.team.clone(),
                requests: 0,
                tokens: 0,
                oldest: Duration::ZERO,
            });
            sum.requests += 1;
            sum.tokens += tokens;
            sum.oldest = sum.oldest.max(age);
        }
        status.by_urgency = by_urgency.into_values().collect();
        status.by_team = by_team.into_values().collect();
        status.top(MAX_TEAMS);
        status
    }

    /// Adds the queue of the same service at another node.
    pub fn add(&mut self, other: QueueStatus) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.since = self.since.max(other.since);
        self.omitted_teams = self.omitted_teams.max(other.omitted_teams);
        for more in other.by_urgency {
            match self.by_urgency.iter_mut().find(|sum| sum.urgency == more.urgency) {
                Some(sum) => {
                    sum.requests += more.requests;
                    sum.tokens += more.tokens;
                }
                None => self.by_urgency.push(more),
            }
        }
        self.by_urgency.sort_by_key(|sum| sum.urgency);
        for more in other.by_team {
            match self.by_team.iter_mut().find(|sum| sum.team == more.team) {
                Some(sum) => {
                    sum.requests += more.requests;
                    sum.tokens += more.tokens;
                    sum.oldest = sum.oldest.max(more.oldest);
                }
                None => self.by_team.push(more),
            }
        }
    }

    /// Keeps the `count` teams with the most queued tokens.
    pub fn top(&mut self, count: usize) {
        self.by_team.sort_by(|one, other| {
            other.tokens.cmp(&one.tokens).then_with(|| one.team.cmp(&other.team))
        });
        self.omitted_teams += self.by_team.len().saturating_sub(count) as u64;
        self.by_team.truncate(count);
    }
}
