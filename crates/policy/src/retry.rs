//! Retry budgets and hedged requests.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Ran, ServiceName, TeamName, bounded_seconds};
use rand::{Rng, RngExt};

/// The maximum relative change of a latency estimate per sample.
const ESTIMATE_STEP: f64 = 0.1;

/// `RetryOptions` are the limits on retries and hedged requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryOptions {
    /// The retries or hedged requests that each first attempt adds to the budgets of its service
    /// and its team.
    pub ratio: f64,
    /// The maximum balance of a budget.
    pub max_balance: f64,
    /// The maximum number of attempts of one request, over all nodes; requests that were accepted
    /// are exempt.
    pub max_attempts: u32,
    /// The backoff before the first retry, without jitter; it doubles with each further retry.
    pub initial_backoff: Duration,
    /// The maximum backoff, without jitter.
    pub max_backoff: Duration,
    /// The latency quantile of lookups after which a hedged request is sent.
    pub hedge_quantile: f64,
}

impl Default for RetryOptions {
    fn default() -> Self {
        RetryOptions {
            ratio: 0.1,
            max_balance: 10.0,
            max_attempts: 3,
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
            hedge_quantile: 0.95,
        }
    }
}

/// An `Idempotency` is whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times with the same effect.
    Idempotent,
    /// It may run at most once.
    AtMostOnce,
}

/// An `Obligation` is whether the caller was promised an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obligation {
    /// The call may fail.
    Free,
    /// The request was accepted and has to be completed.
    Accepted,
}

/// A `FailedAttempt` is the input to a retry decision.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Whether a backend server may have run the call in any attempt.
    pub ran: Ran,
    /// Whether it may run more than once.
    pub idempotency: Idempotency,
    /// Whether it has to be completed.
    pub obligation: Obligation,
    /// The number of attempts so far, over all nodes.
    pub attempts: u32,
    /// The time left until the deadline.
    pub time_left: Duration,
}

/// A `RetryDecision` is what to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after the backoff.
    After(Duration),
    /// Make no further attempt.
    GiveUp(GiveUp),
}

/// A `GiveUp` is the reason why no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// The call may have run and must not run again.
    MayHaveRun,
    /// The maximum number of attempts is reached.
    Attempts,
    /// The retry budget of the service or the team is exhausted.
    Budget,
    /// The deadline would pass before the next attempt.
    Deadline,
}

/// A `RetryBudget` limits retries and hedged requests to a small ratio of first attempts.
///
/// While a backend is down every call fails, and unlimited retries would multiply the load when
/// capacity is lowest. Here first attempts earn the budget for retries, so the load rises at most
/// by the ratio.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    options: RetryOptions,
    services: BTreeMap<ServiceName, f64>,
    teams: BTreeMap<(ServiceName, TeamName), f64>,
    latencies: BTreeMap<ServiceName, f64>,
}

impl RetryBudget {
    /// Returns a budget with a balance of zero.
    pub fn new(options: RetryOptions) -> RetryBudget {
        RetryBudget { options, ..RetryBudget::default() }
    }

    /// Records the first attempt of a call.
    pub fn record_first_attempt(&mut self, service: &ServiceName, team: &TeamName) {
        let RetryOptions { ratio, max_balance, .. } = self.options;
        let service_balance = self.services.entry(service.clone()).or_default();
        *service_balance = (*service_balance + ratio).min(max_balance);
        let team_balance = self.teams.entry((service.clone(), team.clone())).or_default();
        *team_balance = (*team_balance + ratio).min(max_balance);
    }

    /// Decides on a retry after a failed attempt and charges the budgets for it.
    pub fn after_failure(
        &mut self,
        service: &ServiceName,
        team: &TeamName,
        failed: FailedAttempt,
        random: &mut dyn Rng,
    ) -> RetryDecision {
        if failed.idempotency == Idempotency::AtMostOnce && failed.ran != Ran::No {
            return RetryDecision::GiveUp(GiveUp::MayHaveRun);
        }
        let backoff = self.backoff(failed.attempts, random);
        if failed.time_left <= backoff {
            return RetryDecision::GiveUp(GiveUp::Deadline);
        }
        if failed.obligation == Obligation::Accepted {
            // A promised answer is retried even without budget, but then with the maximum backoff,
            // so that promised answers can't multiply the load either.
            let has_budget = self.try_spend(service, team);
            let max_backoff = self.options.max_backoff.mul_f64(random.random_range(0.5..1.5));
            let backoff = if has_budget { backoff } else { max_backoff.min(failed.time_left / 2) };
            return RetryDecision::After(backoff);
        }
        if self.options.max_attempts <= failed.attempts {
            return RetryDecision::GiveUp(GiveUp::Attempts);
        }
        if !self.try_spend(service, team) {
            return RetryDecision::GiveUp(GiveUp::Budget);
        }
        RetryDecision::After(backoff)
    }

    /// Records the latency of a lookup.
    pub fn record_latency(&mut self, service: &ServiceName, took: Duration) {
        let took = took.as_secs_f64();
        let estimate = self.latencies.entry(service.clone()).or_insert(took);
        let direction = match *estimate < took {
            true => self.options.hedge_quantile,
            false => self.options.hedge_quantile - 1.0,
        };
        // This is a stochastic quantile estimate. Steps are relative to the estimate, so that one
        // very slow lookup moves it no further than any other slow one.
        *estimate *= 1.0 + ESTIMATE_STEP * direction;
    }

    /// Returns the time after which a hedged request is sent; none before the first latency sample
    /// and for calls that may run at most once.
    pub fn hedge_after(&self, service: &ServiceName, idempotency: Idempotency) -> Option<Duration> {
        if idempotency == Idempotency::AtMostOnce {
            return None;
        }
        self.latencies.get(service).map(|seconds| bounded_seconds(*seconds))
    }

    /// Charges the budgets for a retry or a hedged request; returns whether both sufficed.
    pub fn try_spend(&mut self, service: &ServiceName, team: &TeamName) -> bool {
        let Some(service_balance) = self.services.get_mut(service) else { return false };
        let Some(team_balance) = self.teams.get_mut(&(service.clone(), team.clone())) else {
            return false;
        };
        if *service_balance < 1.0 || *team_balance < 1.0 {
            return false;
        }
        *service_balance -= 1.0;
        *team_balance -= 1.0;
        true
    }

    fn backoff(&self, attempts: u32, random: &mut dyn Rng) -> Duration {
        let factor = 1_u32 << attempts.saturating_sub(1).min(16);
        let backoff =
            self.options.initial_backoff.saturating_mul(factor).min(self.options.max_backoff);
        backoff.mul_f64(random.random_range(0.5..1.5))
    }
}
