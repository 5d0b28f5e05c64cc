//! How much each team may ask of a node: requests at once, requests and tokens over time.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{
    Stamp, TeamName,
    config::{Rate, TeamConfig},
};

/// The time whose worth of requests and tokens may come at once.
const BURST: Duration = Duration::from_secs(10);
/// When a team that has too many requests at once may come back.
const AT_ONCE_AFTER: Duration = Duration::from_secs(1);
/// The tokens that have to be there for a request, whatever it then takes.
const TOKENS_LEAST: f64 = 1.0;
/// The longest time that a team is told to wait.
const AFTER_MAX: Duration = Duration::from_secs(60);

/// A `TeamLimit` tells which limit of a team a request has met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TeamLimit {
    /// The requests at once.
    Concurrency,
    /// The requests over time.
    Requests,
    /// The tokens over time.
    Tokens,
}

/// A `LimitExceeded` tells that a request is over a limit of its team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// The limit.
    pub limit: TeamLimit,
    /// After which time the team may come back.
    pub retry_after: Duration,
}

/// A `TeamLimiter` holds each team to its limits at one node.
///
/// A limit is meant for all nodes together. Each node grants an equal part of it, so that no
/// messages are needed; a team that uses only some of the nodes gets less than its limit.
#[derive(Debug, Default)]
pub struct TeamLimiter {
    teams: BTreeMap<TeamName, State>,
}

#[derive(Debug, Default)]
struct State {
    at_once: u32,
    requests: Bucket,
    tokens: Bucket,
}

/// A bucket that a request may overdraw: an answer that is larger than the bucket would otherwise
/// never be taken.
#[derive(Debug, Default)]
struct Bucket {
    // None before the first request, when the bucket is full.
    level: Option<f64>,
    at: Stamp,
}

impl TeamLimiter {
    /// Takes a request of a team into account, or tells which limit it has met.
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

        let most = limits.at_once.map(|most| part_of(most, nodes));
        if most.is_some_and(|most| most <= state.at_once) {
            return Err(LimitExceeded {
                limit: TeamLimit::Concurrency,
                retry_after: AT_ONCE_AFTER,
            });
        }
        if let Some(after) = state.requests.short_for(limits.requests, nodes, 1.0) {
            return Err(LimitExceeded { limit: TeamLimit::Requests, retry_after: after });
        }
        if let Some(after) = state.tokens.short_for(limits.tokens, nodes, TOKENS_LEAST) {
            return Err(LimitExceeded { limit: TeamLimit::Tokens, retry_after: after });
        }
        state.at_once += 1;
        state.requests.take(1.0);
        state.tokens.take(f64::from(tokens));
        Ok(())
    }

    /// Gives back what a request took that was not accepted after all.
    pub fn refund(&mut self, team: &TeamName, tokens: u32) {
        let Some(state) = self.teams.get_mut(team) else { return };
        state.at_once = state.at_once.saturating_sub(1);
        state.requests.take(-1.0);
        state.tokens.take(-f64::from(tokens));
    }

    /// Notes that an accepted request of a team has ended.
    pub fn release(&mut self, team: &TeamName) {
        let Some(state) = self.teams.get_mut(team) else { return };
        state.at_once = state.at_once.saturating_sub(1);
    }

    /// Returns the requests of a team that run or wait.
    pub fn at_once(&self, team: &TeamName) -> u32 {
        self.teams.get(team).map_or(0, |state| state.at_once)
    }
}

impl Bucket {
    fn refill(&mut self, now: Stamp, rate: Option<Rate>, nodes: usize) {
        let Some(rate) = rate else {
            // A limit that is set later begins with a full bucket.
            self.level = None;
            return;
        };
        let per_second = per_second(rate, nodes);
        let most = most(per_second);
        let gained = now.since(self.at).as_secs_f64() * per_second;
        self.level = Some(self.level.map_or(most, |level| (level + gained).min(most)));
        self.at = now;
    }

    // Returns how long less than `least` is in the bucket, none where as much is there.
    fn short_for(&self, rate: Option<Rate>, nodes: usize, least: f64) -> Option<Duration> {
        let (rate, level) = (rate?, self.level?);
        if least <= level {
            return None;
        }
        let per_second = per_second(rate, nodes);
        if per_second <= 0.0 {
            return Some(AFTER_MAX);
        }
        let after = ((least - level) / per_second).min(AFTER_MAX.as_secs_f64());
        Some(Duration::from_secs_f64(after))
    }

    fn take(&mut self, amount: f64) {
        self.level = self.level.map(|level| level - amount);
    }
}

fn part_of(whole: u32, nodes: usize) -> u32 {
    let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
    whole.div_ceil(nodes)
}

fn per_second(rate: Rate, nodes: usize) -> f64 {
    rate.per_second() / nodes.max(1) as f64
}

fn most(per_second: f64) -> f64 {
    if per_second <= 0.0 { 0.0 } else { (per_second * BURST.as_secs_f64()).max(1.0) }
}
