//! Admission and queueing of model requests.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Stamp, TeamName};

/// A `Ticket` names one waiting or running request inside an [`Admission`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A `Wait` describes a request that asks to be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wait {
    /// The team that the request counts against.
    pub team: TeamName,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The estimated tokens of prompt and answer that are still to be computed.
    pub tokens: u32,
    /// When the first token is due.
    pub first_token_by: Stamp,
    /// When the whole answer is due.
    pub deadline: Stamp,
    /// Whether the request was accepted before, so that it can no longer be refused.
    pub accepted: bool,
}

/// A `Decision` is what an [`Admission`] wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is accepted and waits.
    Accept(Ticket),
    /// The request is refused; the caller may come back after the given time.
    Refuse(Ticket, Duration),
    /// The request is to be placed and run now.
    Start(Ticket),
    /// The request's deadline has passed while it waited.
    Expire(Ticket),
}

/// `AdmissionOptions` bound the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionOptions {
    /// The most tokens that may wait.
    pub queued_tokens: u64,
    /// The time that a refused caller is told to stay away, before jitter.
    pub retry_after: Duration,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        AdmissionOptions { queued_tokens: 2_000_000, retry_after: Duration::from_secs(1) }
    }
}

/// An `Admission` decides which requests are accepted and in which order they run.
#[derive(Debug)]
pub struct Admission {
    options: AdmissionOptions,
    capacity: usize,
    running: usize,
    queued_tokens: u64,
    next: u64,
    waiting: BTreeMap<(u8, u64), Wait>,
}

impl Admission {
    /// Returns an empty queue that runs nothing before [`Admission::set_capacity`].
    pub fn new(options: AdmissionOptions) -> Admission {
        Admission {
            options,
            capacity: 0,
            running: 0,
            queued_tokens: 0,
            next: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Sets how many requests may run at once.
    pub fn set_capacity(&mut self, capacity: usize) -> Vec<Decision> {
        self.capacity = capacity;
        let mut out = Vec::new();
        self.start(&mut out);
        out
    }

    /// Takes a request in; the ticket names it from now on.
    pub fn arrive(&mut self, _now: Stamp, wait: Wait) -> (Ticket, Vec<Decision>) {
        self.next += 1;
        let ticket = Ticket(self.next);
        let tokens = u64::from(wait.tokens);
        if !wait.accepted && self.options.queued_tokens < self.queued_tokens + tokens {
            return (ticket, vec![Decision::Refuse(ticket, self.options.retry_after)]);
        }
        self.queued_tokens += tokens;
        self.waiting.insert((wait.priority, ticket.0), wait);
        let mut out = vec![Decision::Accept(ticket)];
        self.start(&mut out);
        (ticket, out)
    }

    /// Notes that a started request no longer runs.
    pub fn finish(&mut self, _now: Stamp, _ticket: Ticket) -> Vec<Decision> {
        self.running = self.running.saturating_sub(1);
        let mut out = Vec::new();
        self.start(&mut out);
        out
    }

    /// Takes a waiting request out of the queue.
    pub fn withdraw(&mut self, ticket: Ticket) {
        let key = self.waiting.keys().copied().find(|(_, number)| *number == ticket.0);
        let Some(wait) = key.and_then(|key| self.waiting.remove(&key)) else { return };
        self.queued_tokens -= u64::from(wait.tokens);
    }

    /// Ends the wait of requests whose deadline has passed.
    pub fn tick(&mut self, now: Stamp) -> Vec<Decision> {
        let late = self.waiting.iter().filter(|(_, wait)| wait.deadline <= now);
        let late: Vec<_> = late.map(|((_, number), _)| Ticket(*number)).collect();
        for &ticket in &late {
            self.withdraw(ticket);
        }
        late.into_iter().map(Decision::Expire).collect()
    }

    fn start(&mut self, out: &mut Vec<Decision>) {
        while self.running < self.capacity {
            let Some(((_, number), wait)) = self.waiting.pop_first() else { return };
            self.queued_tokens -= u64::from(wait.tokens);
            self.running += 1;
            out.push(Decision::Start(Ticket(number)));
        }
    }
}
