//! Limits of teams at a node: concurrent requests, request rate and token rate.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{
    Stamp, TeamName, bounded_seconds,
    config::{Rate, TeamConfig},
};

/// The capacity of a token bucket, as the time that it takes to refill.
const BURST: Duration = Duration::from_secs(10);
/// The retry delay of a team with too many concurrent requests.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The tokens that must be available for a request, whatever it then takes.
const MIN_TOKENS: f64 = 1.0;
/// The maximum retry delay.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// A `TeamLimit` is a kind of limit of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TeamLimit {
    /// The concurrent requests.
    Concurrency,
    /// The rate of requests.
    Requests,
    /// The rate of tokens.
    Tokens,
}

/// A `LimitExceeded` is the error for a request over a limit of its team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// The limit.
    pub limit: TeamLimit,
    /// The delay after which the team may retry.
    pub retry_after: Duration,
}

/// A `TeamLimiter` enforces the limits of each team at one node.
///
/// A limit applies to all nodes together. Each node grants an equal part of it, which needs no
/// communication; a team that uses only some of the nodes gets less than its limit.
#[derive(Debug, Default)]
pub struct TeamLimiter {
    teams: BTreeMap<TeamName, TeamState>,
}

#[derive(Debug, Default)]
struct TeamState {
    concurrent: u32,
    requests: TokenBucket,
    tokens: TokenBucket,
}

/// A token bucket that a request may overdraw; otherwise a request larger than the bucket would
/// never be admitted.
#[derive(Debug, Default)]
struct TokenBucket {
    // None means full, before the first request.
    level: Option<f64>,
    refilled_at: Stamp,
}

impl TeamLimiter {
    /// Admits a request of a team, or returns the limit that it exceeds as an error.
    pub fn admit(
        &mut self,
        now: Stamp,
        team: &TeamName,
        limits: &TeamConfig,
        nodes: usize,
        tokens: u32,
    ) -> Result<(), LimitExceeded> {
        let state = self.teams.entry(team.clone()).or_default();
        state.requests.refill(now, limits.requests, nodes);
        state.tokens.refill(now, limits.tokens, nodes);

        let max = limits.at_once.map(|max| part_of(max, nodes));
        if max.is_some_and(|max| max <= state.concurrent) {
            return Err(LimitExceeded {
                limit: TeamLimit::Concurrency,
                retry_after: CONCURRENCY_RETRY_AFTER,
            });
        }
        if let Some(retry_after) = state.requests.shortage(limits.requests, nodes, 1.0) {
            return Err(LimitExceeded { limit: TeamLimit::Requests, retry_after });
        }
        if let Some(retry_after) = state.tokens.shortage(limits.tokens, nodes, MIN_TOKENS) {
            return Err(LimitExceeded { limit: TeamLimit::Tokens, retry_after });
        }
        state.concurrent += 1;
        state.requests.take(1.0);
        state.tokens.take(f64::from(tokens));
        Ok(())
    }

    /// Undoes [`TeamLimiter::admit`] for a request that was refused afterwards.
    pub fn refund(&mut self, team: &TeamName, tokens: u32) {
        let Some(state) = self.teams.get_mut(team) else { return };
        state.concurrent = state.concurrent.saturating_sub(1);
        state.requests.take(-1.0);
        state.tokens.take(-f64::from(tokens));
    }

    /// Records that an accepted request of a team has ended.
    pub fn release(&mut self, team: &TeamName) {
        let Some(state) = self.teams.get_mut(team) else { return };
        state.concurrent = state.concurrent.saturating_sub(1);
    }

    /// Returns the number of requests of a team that run or wait.
    pub fn concurrent(&self, team: &TeamName) -> u32 {
        self.teams.get(team).map_or(0, |state| state.concurrent)
    }
}

impl TokenBucket {
    fn refill(&mut self, now: Stamp, rate: Option<Rate>, nodes: usize) {
        let Some(rate) = rate else {
            // A limit that is set later starts with a full bucket.
            self.level = None;
            return;
        };
        let per_second = per_second(rate, nodes);
        let capacity = capacity(per_second);
        let refill = now.since(self.refilled_at).as_secs_f64() * per_second;
        self.level = Some(self.level.map_or(capacity, |level| (level + refill).min(capacity)));
        self.refilled_at = now;
    }

    // Returns the time until the bucket holds `needed`, or none if it already does.
    fn shortage(&self, rate: Option<Rate>, nodes: usize, needed: f64) -> Option<Duration> {
        let (rate, level) = (rate?, self.level?);
        if needed <= level {
            return None;
        }
        let per_second = per_second(rate, nodes);
        if per_second <= 0.0 {
            return Some(MAX_RETRY_AFTER);
        }
        let seconds = ((needed - level) / per_second).min(MAX_RETRY_AFTER.as_secs_f64());
        Some(bounded_seconds(seconds))
    }

    fn take(&mut self, amount: f64) {
        self.level = self.level.map(|level| level - amount);
    }
}

fn part_of(limit: u32, nodes: usize) -> u32 {
    let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
    limit.div_ceil(nodes)
}

fn per_second(rate: Rate, nodes: usize) -> f64 {
    rate.per_second() / nodes.max(1) as f64
}

fn capacity(per_second: f64) -> f64 {
    if per_second <= 0.0 { 0.0 } else { (per_second * BURST.as_secs_f64()).max(1.0) }
}
