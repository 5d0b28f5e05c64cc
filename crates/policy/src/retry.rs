//! Budgets for retries and hedges.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Ran, ServiceName, TeamName};
use rand::{Rng, RngExt};

/// The part by which a latency estimate moves with each measurement.
const ESTIMATE_STEP: f64 = 0.1;

/// `RetryOptions` bound retries and hedges.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryOptions {
    /// The retries and hedges that each first attempt earns its service and its team.
    pub ratio: f64,
    /// The retries and hedges that may be saved up.
    pub saved: f64,
    /// The most attempts of one request, over all nodes.
    pub attempts: u32,
    /// The pause before the first retry, before jitter; it doubles with each further one.
    pub pause: Duration,
    /// The longest pause before jitter.
    pub pause_max: Duration,
    /// The part of lookups that are answered before a hedge is sent.
    pub hedge_after: f64,
}

impl Default for RetryOptions {
    fn default() -> Self {
        RetryOptions {
            ratio: 0.1,
            saved: 10.0,
            attempts: 3,
            pause: Duration::from_millis(50),
            pause_max: Duration::from_secs(2),
            hedge_after: 0.95,
        }
    }
}

/// A `Repeat` tells whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Running it again changes nothing.
    Idempotent,
    /// It may run at most once.
    AtMostOnce,
}

/// An `Obligation` tells whether the caller was promised an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obligation {
    /// The call may be given up.
    Free,
    /// The request was accepted and has to be finished.
    Accepted,
}

/// A `FailedAttempt` is what a decision on a retry rests on.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Whether a backend server may have run it, over all attempts.
    pub ran: Ran,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// Whether it has to be finished.
    pub obligation: Obligation,
    /// The attempts so far, over all nodes.
    pub attempts: u32,
    /// The time that is left until its deadline.
    pub left: Duration,
}

/// A `RetryDecision` tells what to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after the pause.
    After(Duration),
    /// Give up at once.
    GiveUp(GiveUp),
}

/// A `GiveUp` is the reason for no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// It may have run, and it may not run again.
    MayHaveRun,
    /// It had as many attempts as one request may have.
    Attempts,
    /// The budget of the service or of the team is spent.
    Budget,
    /// The deadline would pass before the next attempt.
    Deadline,
}

/// A `RetryBudget` keeps retries and hedges to a small part of first attempts.
///
/// While a backend is down each call fails, and retries without a bound multiply the load just
/// when it can least be carried. Here retries are paid for by first attempts, so the load rises
/// by the ratio and no more, whatever fails.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    options: RetryOptions,
    services: BTreeMap<ServiceName, f64>,
    teams: BTreeMap<(ServiceName, TeamName), f64>,
    latencies: BTreeMap<ServiceName, f64>,
}

impl RetryBudget {
    /// Returns a budget in which nothing is saved up.
    pub fn new(options: RetryOptions) -> RetryBudget {
        RetryBudget { options, ..RetryBudget::default() }
    }

    /// Notes the first attempt of a call.
    pub fn note_first(&mut self, service: &ServiceName, team: &TeamName) {
        let RetryOptions { ratio, saved, .. } = self.options;
        let of_service = self.services.entry(service.clone()).or_default();
        *of_service = (*of_service + ratio).min(saved);
        let of_team = self.teams.entry((service.clone(), team.clone())).or_default();
        *of_team = (*of_team + ratio).min(saved);
    }

    /// Decides what follows a failed attempt, and pays for the next one.
    pub fn after_failure(
        &mut self,
        service: &ServiceName,
        team: &TeamName,
        failed: FailedAttempt,
        random: &mut dyn Rng,
    ) -> RetryDecision {
        if failed.repeat == Repeat::AtMostOnce && failed.ran != Ran::No {
            return RetryDecision::GiveUp(GiveUp::MayHaveRun);
        }
        let pause = self.pause(failed.attempts, random);
        if failed.left <= pause {
            return RetryDecision::GiveUp(GiveUp::Deadline);
        }
        if failed.obligation == Obligation::Accepted {
            // A promised answer is not given up for a budget. With the budget spent it goes on
            // at the slowest pace, so that promised answers can't multiply the load either.
            let paid = self.pay(service, team);
            let slowest = self.options.pause_max.mul_f64(random.random_range(0.5..1.5));
            let pause = if paid { pause } else { slowest.min(failed.left / 2) };
            return RetryDecision::After(pause);
        }
        if self.options.attempts <= failed.attempts {
            return RetryDecision::GiveUp(GiveUp::Attempts);
        }
        if !self.pay(service, team) {
            return RetryDecision::GiveUp(GiveUp::Budget);
        }
        RetryDecision::After(pause)
    }

    /// Notes how long a lookup took.
    pub fn note_latency(&mut self, service: &ServiceName, took: Duration) {
        let took = took.as_secs_f64();
        let estimate = self.latencies.entry(service.clone()).or_insert(took);
        let towards = match *estimate < took {
            true => self.options.hedge_after,
            false => self.options.hedge_after - 1.0,
        };
        // Steps are parts of the estimate, so that one very slow lookup moves it no further than
        // any other slow one.
        *estimate *= 1.0 + ESTIMATE_STEP * towards;
    }

    /// Returns how long to wait for a lookup before a second one is sent; none before any
    /// latency is known and for calls that may run at most once.
    pub fn hedge_after(&self, service: &ServiceName, repeat: Repeat) -> Option<Duration> {
        if repeat == Repeat::AtMostOnce {
            return None;
        }
        self.latencies.get(service).map(|seconds| Duration::from_secs_f64(*seconds))
    }

    /// Pays for a retry or a hedge; returns whether the budgets allowed it.
    pub fn pay(&mut self, service: &ServiceName, team: &TeamName) -> bool {
        let Some(of_service) = self.services.get_mut(service) else { return false };
        let Some(of_team) = self.teams.get_mut(&(service.clone(), team.clone())) else {
            return false;
        };
        if *of_service < 1.0 || *of_team < 1.0 {
            return false;
        }
        *of_service -= 1.0;
        *of_team -= 1.0;
        true
    }

    fn pause(&self, attempts: u32, random: &mut dyn Rng) -> Duration {
        let doubled = 1_u32 << attempts.saturating_sub(1).min(16);
        let pause = self.options.pause.saturating_mul(doubled).min(self.options.pause_max);
        pause.mul_f64(random.random_range(0.5..1.5))
    }
}
