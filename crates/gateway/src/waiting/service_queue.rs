//! The queue of one service with the requests that wait for their turn.

use std::{collections::HashMap, time::Duration};

use bulrushhall_core::Stamp;
use bulrushhall_policy::waiting::{
    ArrivalOrder, Credit, QueuedWork, Refused, TeamWeights, WaitingQueue, WaitingRequest,
    WaitingTicket,
};
use rand::Rng;
use tokio::sync::oneshot;

use crate::waiting::shortage::Shortage;

/// A `Turn` is the end of a request's wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It is to be sent to an engine now; the wait was expected to last this long, if that was known.
    Start(Option<Duration>),
    /// It has waited as long as it may.
    Expired(Refused),
    /// The node is shutting down.
    Leaving,
    /// The configuration has no such service any more.
    ServiceGone,
}

/// A `ServiceQueue` is the queue of one service at this node.
#[derive(Debug)]
pub struct ServiceQueue {
    /// The order of the queued requests.
    pub queue: WaitingQueue,
    /// What this node may start until the next exchange.
    pub credit: Credit,
    /// What the other nodes have queued.
    pub others: QueuedWork,
    /// The age of the oldest report of another node.
    pub others_age: Duration,
    /// Whether engines are short, for the log.
    pub shortage: Shortage,
    turns: HashMap<WaitingTicket, oneshot::Sender<Turn>>,
}

impl ServiceQueue {
    /// Returns an empty queue.
    pub fn new(weights: TeamWeights) -> ServiceQueue {
        ServiceQueue {
            queue: WaitingQueue::new(ArrivalOrder, weights),
            credit: Credit::default(),
            others: QueuedWork::default(),
            others_age: Duration::ZERO,
            shortage: Shortage::default(),
            turns: HashMap::new(),
        }
    }

    /// Returns whether requests that are at least as urgent as `rank` are queued here or at other nodes.
    pub fn is_short(&self, rank: u8) -> bool {
        // The least urgent work of other nodes is reported as one number.
        let queued = self.queue.queued().folded().plus(self.others);
        0.0 < queued.at_least_as_urgent(rank.min(QueuedWork::NUMBERS as u8 - 1))
    }

    /// Queues a request, or refuses it; returns where its turn will be announced.
    pub fn enter(
        &mut self,
        now: Stamp,
        req: WaitingRequest,
        random: &mut dyn Rng,
    ) -> Result<(WaitingTicket, oneshot::Receiver<Turn>), Refused> {
        let ticket = self.queue.submit(now, req, random)?;
        let (sender, receiver) = oneshot::channel();
        self.turns.insert(ticket, sender);
        Ok((ticket, receiver))
    }

    /// Removes a request whose caller has left.
    pub fn withdraw(&mut self, now: Stamp, ticket: WaitingTicket) {
        self.queue.withdraw(now, ticket);
        self.turns.remove(&ticket);
    }

    /// Refuses the requests that have waited as long as they may.
    pub fn expire(&mut self, now: Stamp, random: &mut dyn Rng) {
        for (ticket, _, refused) in self.queue.expire(now, random) {
            self.announce(ticket, Turn::Expired(refused));
        }
    }

    /// Starts as many requests as the credit allows.
    pub fn start(&mut self, now: Stamp) {
        while self.credit.allows_start() {
            let Some(started) = self.queue.start_next(now) else { break };
            // The caller has just left if its turn can't be announced; its request then uses nothing.
            if self.announce(started.ticket, Turn::Start(started.expected)) {
                self.credit.spend(started.req.work);
            }
        }
    }

    /// Ends the waits of all requests.
    pub fn clear(&mut self, now: Stamp, turn: Turn) {
        while let Some(started) = self.queue.start_next(now) {
            self.announce(started.ticket, turn);
        }
    }

    // Returns whether the request still waited.
    fn announce(&mut self, ticket: WaitingTicket, turn: Turn) -> bool {
        self.turns.remove(&ticket).is_some_and(|sender| sender.send(turn).is_ok())
    }
}
