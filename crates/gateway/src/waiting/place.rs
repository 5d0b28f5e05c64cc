//! The placement of a request that may have to wait for an engine.

use std::{hash::Hasher, sync::Arc, time::Duration};

use bulrushhall_core::{Event, Ran, Stamp, TeamName};
use bulrushhall_policy::waiting::{Refused, WaitingBudget, WaitingRequest};
use tokio::time::timeout;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    clock,
    gateway::Gateway,
    meters,
    pipeline::{
        AccessLogEntry, Failure, IdentifiedRequest, NotPlaced, Placement, PlacementQuery, Queueing,
        ShortRequest, place,
    },
    waiting::{Turn, exchange_interval, queued_guard::QueuedGuard, recheck::recheck},
};

/// How long after its latest time a queued request is given up if its turn was not announced.
const TURN_MARGIN: Duration = Duration::from_millis(50);

/// Chooses a backend server for a request; if no engine can start it soon, the request waits until one can.
///
/// Fails if the request would not be answered within its latency budget, if the node is shutting down, or if the
/// configuration no longer allows it. It has not been sent then.
pub async fn place_or_wait(
    gateway: &Arc<Gateway>,
    query: PlacementQuery<'_>,
    deadline: Stamp,
    log_entry: &mut AccessLogEntry,
) -> Result<Placement, Failure> {
    let arrived = clock::now();
    let is_enabled = gateway.settings.waiting.enabled && query.tried.is_empty();
    let queueing = if is_enabled { Queueing::Arriving } else { Queueing::Never };
    let mut query = PlacementQuery { queueing, ..query };
    loop {
        let short = match place(gateway, query) {
            Ok(placement) => return Ok(placement),
            Err(NotPlaced::Refused(failure)) => return Err(failure),
            Err(NotPlaced::Short(short)) => short,
        };
        let waited = Wait { gateway, query, short, arrived }.run().await;
        log_entry.note_waited(clock::now().since(arrived));
        waited?;
        recheck(gateway, query.req)?;
        let left = deadline.since(clock::now());
        if left.is_zero() {
            return Err(Failure::TimedOut(Ran::No));
        }
        query = PlacementQuery { queueing: Queueing::Started, left, ..query };
    }
}

/// A `Wait` is the wait of a request in the queue.
struct Wait<'a> {
    gateway: &'a Arc<Gateway>,
    query: PlacementQuery<'a>,
    short: ShortRequest,
    arrived: Stamp,
}

impl Wait<'_> {
    async fn run(&self) -> Result<(), Failure> {
        let (gateway, service) = (self.gateway, self.query.service);
        let now = clock::now();
        let weights = &gateway.settings.waiting.weights.0;
        let (waiting, entered) = gateway.with(|state| {
            let waiting = self.request(exchange_interval(state.relays.role));
            let queue = state.waiting.queue(service, weights);
            if waiting.restarted {
                queue.credit.refund(waiting.work);
            }
            let entered = queue.enter(now, waiting.clone(), &mut rand::rng());
            (waiting, entered)
        });
        let (ticket, turn) = match entered {
            Ok(entered) => entered,
            Err(refused) => {
                self.note_refused(refused, "wait");
                return Err(Failure::Overloaded(refused.retry_after));
            }
        };
        let _guard = QueuedGuard { gateway: Arc::clone(gateway), service: service.clone(), ticket };
        gateway.waiting_due.notify_one();
        let max_wait = waiting.leave_by.since(now) + TURN_MARGIN;
        let Ok(Ok(turn)) = timeout(max_wait, turn).await else {
            return Err(Failure::TimedOut(Ran::No));
        };
        let rank = waiting.rank;
        match turn {
            Turn::Start(expected) => {
                self.note_started(&waiting, expected);
                Ok(())
            }
            Turn::Expired(refused) => {
                self.note_refused(refused, "expired");
                Err(Failure::Overloaded(refused.retry_after))
            }
            Turn::Leaving => {
                meters::waiting_refused("leaving", rank);
                Err(Failure::Leaving)
            }
            Turn::ServiceGone => {
                meters::waiting_refused("service_gone", rank);
                Err(Failure::NoBackend)
            }
        }
    }

    fn request(&self, exchange: Duration) -> WaitingRequest {
        let req = self.query.req;
        let budget = WaitingBudget {
            budget: self.query.latency_budget(),
            exchange,
            service: self.short.service_time,
        };
        let in_time = budget.in_time_wait();
        let has_late_value = self.query.origin.is_some()
            || self.gateway.settings.waiting.late_priority <= req.rank();
        let max_wait = if has_late_value { budget.late_wait() } else { in_time };
        // A request that waits again has the time that it had on arrival, and not more than is left.
        let now = clock::now();
        let deadline = now + self.query.left;
        WaitingRequest {
            team: team(req),
            rank: req.rank(),
            work: self.short.work,
            arrived: self.arrived,
            latest_start: self.arrived + in_time,
            leave_by: (self.arrived + max_wait).min(deadline),
            identity: identity(req),
            restarted: self.query.queueing == Queueing::Started,
        }
    }

    fn note_started(&self, waiting: &WaitingRequest, expected: Option<Duration>) {
        let now = clock::now();
        meters::waited(waiting.rank, now.since(waiting.arrived));
        if now <= waiting.latest_start {
            return;
        }
        tracing::info!(
            event = Event::RequestStartedLate.number(),
            id = self.query.req.call.id.as_str(),
            service = self.query.service.as_str(),
            team = waiting.team.as_str(),
            priority = waiting.rank,
            waited_ms = millis(now.since(waiting.arrived)),
            expected_ms = expected.map(millis)
        );
    }

    fn note_refused(&self, refused: Refused, reason: &'static str) {
        let rank = self.query.req.rank();
        meters::waiting_refused(reason, rank);
        let service = self.query.service;
        let (queued, tokens, others, age) = self.gateway.with(|state| {
            if let Some(team) = &self.query.req.team {
                state.team_counts(team).note_refused_queued(clock::now());
            }
            let weights = &self.gateway.settings.waiting.weights.0;
            let queue = state.waiting.queue(service, weights);
            let tokens = queue.queue.queued().total();
            (queue.queue.len(), tokens, queue.others.total(), queue.others_age)
        });
        tracing::info!(
            event = Event::QueuedRefused.number(),
            id = self.query.req.call.id.as_str(),
            service = service.as_str(),
            team = team(self.query.req).as_str(),
            priority = rank,
            reason,
            waited_ms = millis(clock::now().since(self.arrived)),
            expected_ms = millis(refused.wait),
            after_ms = millis(refused.retry_after),
            queued,
            tokens,
            others_tokens = others,
            others_age_ms = millis(age)
        );
    }
}

// Callers without a team share one place among the teams.
fn team(req: &IdentifiedRequest) -> TeamName {
    let named = req.team.as_ref().map(|team| team.name.clone());
    named.unwrap_or_else(|| {
        TeamName::new("anonymous").unwrap_or_else(|_| unreachable!("a valid name"))
    })
}

// The attempts of a caller have different ids; the last part of a prompt belongs to one request alone.
fn identity(req: &IdentifiedRequest) -> Option<u64> {
    let prompt = req.call.prompt.as_ref()?;
    let mut hasher = Xxh3::new();
    hasher.write(req.call.key.as_deref()?.as_bytes());
    hasher.write(req.route.name.as_bytes());
    hasher.write_u64(prompt.parts.last()?.id);
    for part in &prompt.parts {
        hasher.write_u64(part.id);
    }
    Some(hasher.finish())
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
