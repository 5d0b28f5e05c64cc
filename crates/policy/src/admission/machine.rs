//! The admission state machine: which requests are accepted and which one starts next.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Stamp, TeamName};
use rand::{Rng, RngExt};

use crate::admission::{
    AdmissionOptions, AdmissionRequest, Decision, FairQueue, ServiceRate, Ticket,
};

/// An `Admission` decides which requests are accepted and in which order they start.
///
/// Each priority has a [`FairQueue`], and the most urgent one goes first. Background requests,
/// which are those behind the interactive priorities, move to a separate queue when their deadline
/// is near. That queue gets a small share of the service even while interactive requests wait, so
/// that background requests meet their deadlines.
#[derive(Debug)]
pub struct Admission {
    options: AdmissionOptions,
    shares: BTreeMap<TeamName, u32>,
    capacity: usize,
    rate: ServiceRate,
    last_ticket: u64,
    queues: BTreeMap<u8, FairQueue>,
    overdue: FairQueue,
    overdue_credit: f64,
    running: BTreeMap<Ticket, Running>,
    running_by_priority: BTreeMap<u8, usize>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    priority: u8,
    tokens: u32,
    started_at: Stamp,
}

impl Admission {
    /// Returns an empty queue that starts nothing until [`Admission::set_capacity`] is called.
    pub fn new(options: AdmissionOptions) -> Admission {
        let rate = ServiceRate::new(options.tokens_per_second);
        Admission {
            options,
            shares: BTreeMap::new(),
            capacity: 0,
            rate,
            last_ticket: 0,
            queues: BTreeMap::new(),
            overdue: FairQueue::default(),
            overdue_credit: 0.0,
            running: BTreeMap::new(),
            running_by_priority: BTreeMap::new(),
        }
    }

    /// Sets the shares of the teams; the default is 1.
    pub fn set_shares(&mut self, shares: BTreeMap<TeamName, u32>) {
        self.shares = shares;
    }

    /// Sets the maximum number of concurrent requests.
    pub fn set_capacity(&mut self, now: Stamp, capacity: usize) -> Vec<Decision> {
        self.capacity = capacity;
        let mut out = Vec::new();
        self.start(now, &mut out);
        out
    }

    /// Accepts or refuses a new request, which the returned ticket identifies.
    pub fn submit(
        &mut self,
        now: Stamp,
        req: AdmissionRequest,
        random: &mut dyn Rng,
    ) -> (Ticket, Vec<Decision>) {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        if !req.accepted
            && let Some(delay) = self.expected_delay(now, &req)
        {
            let after = self.retry_after(delay, random);
            return (ticket, vec![Decision::Refuse(ticket, after)]);
        }
        self.queues.entry(req.priority).or_default().push(ticket, req);
        let mut out = vec![Decision::Accept(ticket)];
        self.start(now, &mut out);
        (ticket, out)
    }

    /// Records that a started request has ended.
    pub fn finish(&mut self, now: Stamp, ticket: Ticket) -> Vec<Decision> {
        let mut out = Vec::new();
        let Some(run) = self.running.remove(&ticket) else { return out };
        if let Some(count) = self.running_by_priority.get_mut(&run.priority) {
            *count -= 1;
        }
        self.rate.note(run.tokens, now.since(run.started_at));
        self.start(now, &mut out);
        out
    }

    /// Removes a waiting request from the queue.
    pub fn withdraw(&mut self, ticket: Ticket) {
        for queue in self.queues.values_mut().chain([&mut self.overdue]) {
            queue.extract(|waiting, _| waiting == ticket);
        }
    }

    /// Expires waiting requests whose deadline has passed and promotes overdue ones.
    pub fn tick(&mut self, now: Stamp) -> Vec<Decision> {
        let mut out = Vec::new();
        for queue in self.queues.values_mut().chain([&mut self.overdue]) {
            // Requests whose callers have given up would keep the engines busy after an overload
            // and prolong it, so they are removed before anything starts.
            let expired = queue.extract(|_, req| req.deadline <= now);
            out.extend(expired.into_iter().map(|(ticket, _)| Decision::Expire(ticket)));
        }
        self.promote_overdue(now);
        self.start(now, &mut out);
        out
    }

    /// Returns the tokens of the waiting requests.
    pub fn queued_tokens(&self) -> u64 {
        self.queues.values().map(FairQueue::tokens).sum::<u64>() + self.overdue.tokens()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(FairQueue::len).sum::<usize>() + self.overdue.len()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    // Returns by how much a new request would be late, or none if it would be in time.
    fn expected_delay(&self, now: Stamp, req: &AdmissionRequest) -> Option<Duration> {
        if self.options.max_queued_tokens < self.queued_tokens() + u64::from(req.tokens) {
            return Some(self.rate.time_for(f64::from(req.tokens), self.capacity));
        }
        let mut before = self.overdue.tokens() as f64 * self.options.overdue_share;
        for (&priority, queue) in self.queues.range(..=req.priority) {
            before += match priority < req.priority {
                true => queue.tokens() as f64,
                false => queue.tokens_before(&req.team, req.tokens, &self.shares),
            };
        }
        let has_free_slot = self.running_up_to(req.priority) < self.capacity_for(req.priority);
        let queued = if has_free_slot && before == 0.0 {
            Duration::ZERO
        } else {
            self.rate.time_for(before + f64::from(req.tokens) / 2.0, self.capacity)
        };
        let is_interactive = req.priority <= self.options.interactive_priority;
        // Without any engine, background requests are still queued, since engines will return.
        if !is_interactive && self.capacity == 0 {
            return None;
        }
        let max_wait = if is_interactive {
            req.first_token_by.since(now).mul_f64(self.options.max_wait_share)
        } else {
            let run = self.rate.time_for(f64::from(req.tokens), 1);
            req.deadline.since(now).saturating_sub(run)
        };
        (max_wait < queued).then(|| queued - max_wait)
    }

    // Callers that are refused together and retry together would be refused together again, so
    // jitter spreads their retries between 0.5 and 1.5 times the delay.
    fn retry_after(&self, delay: Duration, random: &mut dyn Rng) -> Duration {
        let base = delay.clamp(self.options.min_retry_after, self.options.max_retry_after);
        base.mul_f64(random.random_range(0.5..1.5))
    }

    fn promote_overdue(&mut self, now: Stamp) {
        let (rate, factor) = (self.rate, self.options.overdue_factor);
        let interactive_priority = self.options.interactive_priority;
        for (_, queue) in
            self.queues.iter_mut().filter(|(priority, _)| interactive_priority < **priority)
        {
            let due = queue.extract(|_, req| {
                let run = rate.time_for(f64::from(req.tokens), 1);
                req.deadline.since(now) <= run.mul_f64(factor)
            });
            for (ticket, req) in due {
                self.overdue.push(ticket, req);
            }
        }
    }

    fn start(&mut self, now: Stamp, out: &mut Vec<Decision>) {
        while let Some((ticket, req)) = self.next_to_start() {
            if req.deadline <= now {
                out.push(Decision::Expire(ticket));
                continue;
            }
            let run = Running { priority: req.priority, tokens: req.tokens, started_at: now };
            self.running.insert(ticket, run);
            *self.running_by_priority.entry(req.priority).or_default() += 1;
            out.push(Decision::Start(ticket));
        }
    }

    fn next_to_start(&mut self) -> Option<(Ticket, AdmissionRequest)> {
        if !self.overdue.is_empty()
            && 0.0 <= self.overdue_credit
            && self.running_up_to(self.options.interactive_priority) < self.capacity
        {
            return self.pop_overdue();
        }
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let mut priorities = waiting.map(|(&priority, _)| priority);
        let Some(first) = priorities.next() else { return self.next_overdue() };
        let priority = (self.running_up_to(first) < self.capacity_for(first)).then_some(first);
        let (ticket, req) = self.queues.get_mut(&priority?)?.pop(&self.shares)?;
        if !self.overdue.is_empty() {
            self.overdue_credit += f64::from(req.tokens) * self.options.overdue_share;
        }
        Some((ticket, req))
    }

    fn next_overdue(&mut self) -> Option<(Ticket, AdmissionRequest)> {
        if self.capacity <= self.running_up_to(self.options.interactive_priority) {
            return None;
        }
        self.overdue_credit = 0.0;
        self.pop_overdue()
    }

    // An overdue request takes the slot of an interactive one and counts as interactive while it
    // runs. At its own priority it would wait for a moment without interactive requests, which may
    // never come.
    fn pop_overdue(&mut self) -> Option<(Ticket, AdmissionRequest)> {
        let (ticket, mut req) = self.overdue.pop(&self.shares)?;
        self.overdue_credit -= f64::from(req.tokens);
        req.priority = req.priority.min(self.options.interactive_priority);
        Some((ticket, req))
    }

    // An engine gives its batch slots to the most urgent requests, so a request only has to wait
    // for those that are at least as urgent: background requests never block an interactive one.
    fn running_up_to(&self, priority: u8) -> usize {
        self.running_by_priority.range(..=priority).map(|(_, count)| count).sum()
    }

    fn capacity_for(&self, priority: u8) -> usize {
        if priority <= self.options.interactive_priority {
            return self.capacity;
        }
        let reserved = (self.capacity as f64 * self.options.reserved_share) as usize;
        self.capacity - reserved.min(self.capacity.saturating_sub(1))
    }
}
