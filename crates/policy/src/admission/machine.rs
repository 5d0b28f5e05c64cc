//! The state machine of admission: who is accepted and who runs next.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Stamp, TeamName};
use rand::{Rng, RngExt};

use crate::admission::{
    AdmissionOptions, AdmissionRequest, Decision, FairQueue, ServiceRate, Ticket,
};

/// An `Admission` decides which requests are accepted and in which order they run.
///
/// Each priority has a [`FairQueue`]; a more urgent one goes first. Patient requests whose
/// deadline comes near move to a queue of their own that gets a small part of the service even
/// while urgent requests wait, so that they finish.
#[derive(Debug)]
pub struct Admission {
    options: AdmissionOptions,
    shares: BTreeMap<TeamName, u32>,
    capacity: usize,
    rate: ServiceRate,
    next: u64,
    bands: BTreeMap<u8, FairQueue>,
    overdue: FairQueue,
    overdue_credit: f64,
    running: BTreeMap<Ticket, Running>,
    running_by_priority: BTreeMap<u8, usize>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    priority: u8,
    tokens: u32,
    since: Stamp,
}

impl Admission {
    /// Returns an empty queue that runs nothing before [`Admission::set_capacity`].
    pub fn new(options: AdmissionOptions) -> Admission {
        let rate = ServiceRate::new(options.tokens_per_second);
        Admission {
            options,
            shares: BTreeMap::new(),
            capacity: 0,
            rate,
            next: 0,
            bands: BTreeMap::new(),
            overdue: FairQueue::default(),
            overdue_credit: 0.0,
            running: BTreeMap::new(),
            running_by_priority: BTreeMap::new(),
        }
    }

    /// Sets the shares of the teams; a team without one has a share of 1.
    pub fn set_shares(&mut self, shares: BTreeMap<TeamName, u32>) {
        self.shares = shares;
    }

    /// Sets how many requests may run at once.
    pub fn set_capacity(&mut self, now: Stamp, capacity: usize) -> Vec<Decision> {
        self.capacity = capacity;
        let mut out = Vec::new();
        self.start(now, &mut out);
        out
    }

    /// Takes a request in; the ticket names it from now on.
    pub fn arrive(
        &mut self,
        now: Stamp,
        wait: AdmissionRequest,
        random: &mut dyn Rng,
    ) -> (Ticket, Vec<Decision>) {
        self.next += 1;
        let ticket = Ticket(self.next);
        if !wait.accepted
            && let Some(excess) = self.excess(now, &wait)
        {
            let after = self.retry_after(excess, random);
            return (ticket, vec![Decision::Refuse(ticket, after)]);
        }
        self.bands.entry(wait.priority).or_default().push(ticket, wait);
        let mut out = vec![Decision::Accept(ticket)];
        self.start(now, &mut out);
        (ticket, out)
    }

    /// Notes that a started request no longer runs.
    pub fn finish(&mut self, now: Stamp, ticket: Ticket) -> Vec<Decision> {
        let mut out = Vec::new();
        let Some(run) = self.running.remove(&ticket) else { return out };
        if let Some(count) = self.running_by_priority.get_mut(&run.priority) {
            *count -= 1;
        }
        self.rate.note(run.tokens, now.since(run.since));
        self.start(now, &mut out);
        out
    }

    /// Takes a waiting request out of the queue.
    pub fn withdraw(&mut self, ticket: Ticket) {
        for queue in self.bands.values_mut().chain([&mut self.overdue]) {
            queue.extract(|waiting, _| waiting == ticket);
        }
    }

    /// Ends the wait of requests whose deadline has passed and advances overdue ones.
    pub fn tick(&mut self, now: Stamp) -> Vec<Decision> {
        let mut out = Vec::new();
        for queue in self.bands.values_mut().chain([&mut self.overdue]) {
            // Work that nobody waits for any more would keep the engines busy after an overload
            // and so keep the overload alive; it goes before anything else starts.
            let late = queue.extract(|_, wait| wait.deadline <= now);
            out.extend(late.into_iter().map(|(ticket, _)| Decision::Expire(ticket)));
        }
        self.advance_overdue(now);
        self.start(now, &mut out);
        out
    }

    /// Returns the tokens that wait.
    pub fn queued_tokens(&self) -> u64 {
        self.bands.values().map(FairQueue::tokens).sum::<u64>() + self.overdue.tokens()
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.bands.values().map(FairQueue::len).sum::<usize>() + self.overdue.len()
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    // Returns by how much a new request would come too late, none if it would come in time.
    fn excess(&self, now: Stamp, wait: &AdmissionRequest) -> Option<Duration> {
        if self.options.queued_tokens < self.queued_tokens() + u64::from(wait.tokens) {
            return Some(self.rate.time_for(f64::from(wait.tokens), self.capacity));
        }
        let mut before = self.overdue.tokens() as f64 * self.options.overdue_share;
        for (&priority, queue) in self.bands.range(..=wait.priority) {
            before += match priority < wait.priority {
                true => queue.tokens() as f64,
                false => queue.tokens_before(&wait.team, wait.tokens, &self.shares),
            };
        }
        let free = self.running_up_to(wait.priority) < self.limit(wait.priority);
        let queued = if free && before == 0.0 {
            Duration::ZERO
        } else {
            self.rate.time_for(before + f64::from(wait.tokens) / 2.0, self.capacity)
        };
        let interactive = wait.priority <= self.options.interactive;
        // While there is no engine at all, patient work is kept: engines come back.
        if !interactive && self.capacity == 0 {
            return None;
        }
        let allowed = if interactive {
            wait.first_token_by.since(now).mul_f64(self.options.wait_share)
        } else {
            let run = self.rate.time_for(f64::from(wait.tokens), 1);
            wait.deadline.since(now).saturating_sub(run)
        };
        (allowed < queued).then(|| queued - allowed)
    }

    // Refused callers that all come back at the same moment would be refused together again.
    // The jitter spreads them over twice the time that the queue needs.
    fn retry_after(&self, excess: Duration, random: &mut dyn Rng) -> Duration {
        let base = excess.clamp(self.options.retry_after, self.options.retry_after_max);
        base.mul_f64(random.random_range(0.5..1.5))
    }

    fn advance_overdue(&mut self, now: Stamp) {
        let (rate, margin) = (self.rate, self.options.overdue_margin);
        let interactive = self.options.interactive;
        for (_, queue) in self.bands.iter_mut().filter(|(priority, _)| interactive < **priority) {
            let due = queue.extract(|_, wait| {
                let run = rate.time_for(f64::from(wait.tokens), 1);
                wait.deadline.since(now) <= run.mul_f64(margin)
            });
            for (ticket, wait) in due {
                self.overdue.push(ticket, wait);
            }
        }
    }

    fn start(&mut self, now: Stamp, out: &mut Vec<Decision>) {
        while let Some((ticket, wait)) = self.next_to_start() {
            if wait.deadline <= now {
                out.push(Decision::Expire(ticket));
                continue;
            }
            let run = Running { priority: wait.priority, tokens: wait.tokens, since: now };
            self.running.insert(ticket, run);
            *self.running_by_priority.entry(wait.priority).or_default() += 1;
            out.push(Decision::Start(ticket));
        }
    }

    fn next_to_start(&mut self) -> Option<(Ticket, AdmissionRequest)> {
        if !self.overdue.is_empty()
            && 0.0 <= self.overdue_credit
            && self.running_up_to(self.options.interactive) < self.capacity
        {
            return self.pop_overdue();
        }
        let waiting = self.bands.iter().filter(|(_, queue)| !queue.is_empty());
        let mut open = waiting.map(|(&priority, _)| priority);
        let Some(first) = open.next() else { return self.next_overdue() };
        let found = (self.running_up_to(first) < self.limit(first)).then_some(first);
        let (ticket, wait) = self.bands.get_mut(&found?)?.pop(&self.shares)?;
        if !self.overdue.is_empty() {
            self.overdue_credit += f64::from(wait.tokens) * self.options.overdue_share;
        }
        Some((ticket, wait))
    }

    fn next_overdue(&mut self) -> Option<(Ticket, AdmissionRequest)> {
        if self.capacity <= self.running_up_to(self.options.interactive) {
            return None;
        }
        self.overdue_credit = 0.0;
        self.pop_overdue()
    }

    // An overdue request takes the place of an interactive one and counts as one while it runs.
    // Counted behind them it would wait for a moment without urgent work that may never come.
    fn pop_overdue(&mut self) -> Option<(Ticket, AdmissionRequest)> {
        let (ticket, mut wait) = self.overdue.pop(&self.shares)?;
        self.overdue_credit -= f64::from(wait.tokens);
        wait.priority = wait.priority.min(self.options.interactive);
        Some((ticket, wait))
    }

    // An engine gives the places of its batch to the most urgent requests, so a request is held
    // back only by those that are at least as urgent: patient ones never block an urgent one.
    fn running_up_to(&self, priority: u8) -> usize {
        self.running_by_priority.range(..=priority).map(|(_, count)| count).sum()
    }

    fn limit(&self, priority: u8) -> usize {
        if priority <= self.options.interactive {
            return self.capacity;
        }
        let kept = (self.capacity as f64 * self.options.reserve) as usize;
        self.capacity - kept.min(self.capacity.saturating_sub(1))
    }
}
