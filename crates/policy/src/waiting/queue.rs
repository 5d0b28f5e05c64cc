//! The queue of one service at one node.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use bulrushhall_core::{Stamp, TeamName, bounded_seconds};
use rand::Rng;

use crate::waiting::{
    LeastTimeLeft, QueuedWork, RANKS, StartOrder, TeamWeights, WaitingRequest, WaitingTicket,
    class_queue::{ClassQueue, Position},
    retry_slots::RetrySlots,
    work_rate::WorkRate,
};

/// The share of the engines' rate that is assumed for a class of which nothing has been started.
const MIN_RATE_SHARE: f64 = 0.05;
/// The longest expected wait, in seconds, so that a rate near 0 yields a valid time.
const MAX_WAIT_SECONDS: f64 = 3_600.0;

/// A `Refused` is a request that is not answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The expected wait.
    pub wait: Duration,
    /// The time after which its caller is to retry.
    pub retry_after: Duration,
}

/// A `Started` is a request that is to be sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Started {
    /// Its ticket.
    pub ticket: WaitingTicket,
    /// The request.
    pub req: WaitingRequest,
    /// The wait that was expected when it was queued, if it was known.
    pub expected: Option<Duration>,
}

/// A `WaitingQueue` holds the requests of one service at one node that no engine can start soon.
#[derive(Debug)]
pub struct WaitingQueue {
    order: Box<dyn StartOrder>,
    weights: TeamWeights,
    next_ticket: u64,
    requests: HashMap<WaitingTicket, Queued>,
    classes: [ClassQueue; RANKS],
    queued: QueuedWork,
    by_latest_start: BTreeSet<(Stamp, WaitingTicket)>,
    by_leave: BTreeSet<(Stamp, WaitingTicket)>,
    rate: WorkRate,
    assumed_rate: f64,
    exchange: Duration,
    retries: RetrySlots,
}

#[derive(Debug)]
struct Queued {
    req: WaitingRequest,
    position: Position,
    expected: Option<Duration>,
}

impl Default for WaitingQueue {
    fn default() -> Self {
        WaitingQueue::new(LeastTimeLeft, TeamWeights::new())
    }
}

impl WaitingQueue {
    /// Returns an empty queue.
    pub fn new(order: impl StartOrder + 'static, weights: TeamWeights) -> WaitingQueue {
        WaitingQueue {
            order: Box::new(order),
            weights,
            next_ticket: 0,
            requests: HashMap::new(),
            classes: Default::default(),
            queued: QueuedWork::default(),
            by_latest_start: BTreeSet::new(),
            by_leave: BTreeSet::new(),
            rate: WorkRate::default(),
            assumed_rate: 0.0,
            exchange: Duration::ZERO,
            retries: RetrySlots::default(),
        }
    }

    /// Sets the work per second, in tokens, that is assumed as long as none was observed, 0 if it is not known, and the time
    /// between two grants of work.
    pub fn set_outlook(&mut self, assumed_rate: f64, exchange: Duration) {
        self.assumed_rate = assumed_rate;
        self.exchange = exchange;
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the queued work.
    pub fn queued(&self) -> QueuedWork {
        self.queued
    }

    /// Queues a request, or refuses it if its expected wait exceeds the time until it leaves.
    ///
    /// Without an observed or assumed rate the wait is not known, and the request is queued.
    pub fn submit(
        &mut self,
        now: Stamp,
        req: WaitingRequest,
        random: &mut dyn Rng,
    ) -> Result<WaitingTicket, Refused> {
        let goes_first = req.restarted || self.retries.redeem(now, &req);
        let expected = if goes_first {
            self.wait_behind(now, 0.0, req.rank)
        } else {
            self.expected_wait(now, &req)
        };
        let max_wait = req.leave_by.since(now);
        if let Some(wait) = expected.filter(|wait| max_wait < *wait) {
            return Err(self.refuse(now, &req, wait, random));
        }
        let ticket = WaitingTicket(self.next_ticket);
        self.next_ticket += 1;
        let ordered = self.order.position(now, &req);
        let position = (if goes_first { 0 } else { ordered }, ticket);
        if self.is_empty() {
            self.rate.note_queued(now);
        }
        self.classes[class(req.rank)].push(now, &req.team, position, req.work);
        self.queued.add(req.rank, req.work);
        self.by_latest_start.insert((req.latest_start, ticket));
        self.by_leave.insert((req.leave_by, ticket));
        self.requests.insert(ticket, Queued { req, position, expected });
        Ok(ticket)
    }

    /// Removes and returns the request that starts next.
    ///
    /// The most urgent of the requests that can still be in time goes first; without any, the most urgent of the others.
    pub fn start_next(&mut self, now: Stamp) -> Option<Started> {
        self.note_late(now);
        let in_time = self.classes.iter().find_map(ClassQueue::first_in_time);
        let ticket = in_time.or_else(|| self.classes.iter().find_map(ClassQueue::first_late))?;
        let Queued { req, expected, .. } = self.remove(now, ticket)?;
        self.classes[class(req.rank)].charge(now, &req.team, req.work, &self.weights);
        self.rate.note_started(now, req.work);
        Some(Started { ticket, req, expected })
    }

    /// Removes and returns a request whose caller has left; none if it is not queued any more.
    pub fn withdraw(&mut self, now: Stamp, ticket: WaitingTicket) -> Option<WaitingRequest> {
        Some(self.remove(now, ticket)?.req)
    }

    /// Removes and returns the requests that have waited as long as they may.
    pub fn expire(
        &mut self,
        now: Stamp,
        random: &mut dyn Rng,
    ) -> Vec<(WaitingTicket, WaitingRequest, Refused)> {
        let mut expired = Vec::new();
        while let Some((at, ticket)) = self.by_leave.first().copied() {
            if now < at {
                break;
            }
            let Some(Queued { req, .. }) = self.remove(now, ticket) else { break };
            let wait = self.expected_wait(now, &req).unwrap_or_default();
            let refused = self.refuse(now, &req, wait, random);
            expired.push((ticket, req, refused));
        }
        expired
    }

    /// Returns how long a new request would wait; none if that is not known.
    pub fn expected_wait(&self, now: Stamp, req: &WaitingRequest) -> Option<Duration> {
        let own = &self.classes[class(req.rank)];
        let before = own.work_before(&req.team, req.work, &self.weights);
        let wait = self.wait_behind(now, before, req.rank)?;
        // Requests of other teams that arrive later may start before this one.
        let team_rate = own.team_rate(now, &req.team).filter(|rate| 0.0 < *rate);
        let team_wait = team_rate.map(|rate| own.team_work(&req.team) / rate);
        Some(wait.max(bounded_seconds(team_wait.unwrap_or(0.0).min(MAX_WAIT_SECONDS))))
    }

    // How long `before` tokens of the same class and all more urgent ones take; none if that is not known.
    fn wait_behind(&self, now: Stamp, before: f64, rank: u8) -> Option<Duration> {
        let ahead: f64 = self.queued.0.iter().take(class(rank)).sum();
        if ahead + before <= 0.0 {
            return Some(Duration::ZERO);
        }
        let (total, own) = (self.total_rate(now)?, self.class_rate(now, rank)?);
        let seconds = (ahead / total + before / own).min(MAX_WAIT_SECONDS);
        // Work is granted once in an exchange, so a request waits for half of one in addition.
        Some(bounded_seconds(seconds) + self.exchange / 2)
    }

    fn total_rate(&self, now: Stamp) -> Option<f64> {
        let assumed = Some(self.assumed_rate).filter(|rate| 0.0 < *rate);
        self.rate.per_second(now).filter(|rate| 0.0 < *rate).or(assumed)
    }

    // What more urgent requests that arrive later leave to a class.
    fn class_rate(&self, now: Stamp, rank: u8) -> Option<f64> {
        let total = self.total_rate(now)?;
        let own = self.classes[class(rank)].rate(now);
        Some(own.map_or(total, |own| own.max(total * MIN_RATE_SHARE)))
    }

    fn refuse(
        &mut self,
        now: Stamp,
        req: &WaitingRequest,
        wait: Duration,
        random: &mut dyn Rng,
    ) -> Refused {
        let earliest = wait.saturating_sub(req.leave_by.since(req.arrived));
        let rate = self.class_rate(now, req.rank);
        let retry_after = self.retries.book(now, req, earliest, rate, random);
        Refused { wait, retry_after }
    }

    fn note_late(&mut self, now: Stamp) {
        while let Some((at, ticket)) = self.by_latest_start.first().copied() {
            if now <= at {
                break;
            }
            self.by_latest_start.pop_first();
            let Some(queued) = self.requests.get(&ticket) else { continue };
            self.classes[class(queued.req.rank)].note_late(&queued.req.team, queued.position);
        }
    }

    fn remove(&mut self, now: Stamp, ticket: WaitingTicket) -> Option<Queued> {
        let queued = self.requests.remove(&ticket)?;
        let req = &queued.req;
        self.classes[class(req.rank)].remove(now, &req.team, queued.position, req.work);
        self.queued.remove(req.rank, req.work);
        self.by_latest_start.remove(&(req.latest_start, ticket));
        self.by_leave.remove(&(req.leave_by, ticket));
        if self.is_empty() {
            self.rate.note_empty(now);
            self.queued = QueuedWork::default();
        }
        Some(queued)
    }

    /// Returns the queued requests, in no order.
    pub fn requests(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.requests.values().map(|queued| &queued.req)
    }

    /// Returns the teams and urgencies of the queued requests, for logs and metrics.
    pub fn iter(&self) -> impl Iterator<Item = (&TeamName, u8)> {
        self.requests.values().map(|queued| (&queued.req.team, queued.req.rank))
    }
}

fn class(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}
