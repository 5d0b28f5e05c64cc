//! The queue, the view of the engines and the placement of one service on one node.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use bulrushhall_core::{Stamp, TeamName};
use rand::Rng;

use crate::{
    admission::{Admission, AdmissionOptions, AdmissionRequest, Decision, Ticket},
    placement::{
        LoadReport, Placement, PlacementOptions, PlacementRequest, PredictedLatency, WorkerKey,
        WorkerView,
    },
};

/// The weight of the newest first token in an engine's slowness.
const SLOWNESS_NEWEST: f32 = 0.2;
/// The bounds of an engine's slowness.
const SLOWNESS_BOUNDS: (f32, f32) = (0.5, 8.0);
/// The part of its distance from 1 that an engine's slowness keeps with each report.
const SLOWNESS_KEPT: f32 = 0.98;
/// The shortest prediction that a slowness is measured against.
const LEAST_PREDICTION: Duration = Duration::from_millis(20);

/// A `SchedulerAction` is what a [`Scheduler`] wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerAction {
    /// The request is accepted and waits.
    Accept(Ticket),
    /// The request is refused; the caller may come back after the given time.
    Refuse(Ticket, Duration),
    /// The request is to run on this engine now.
    Start(Ticket, WorkerKey),
    /// The request was to run now, but no engine takes work.
    NoWorker(Ticket),
    /// The request's deadline has passed while it waited.
    Expire(Ticket),
}

/// `SchedulerOptions` size a [`Scheduler`].
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerOptions {
    /// The bounds of the queue.
    pub admission: AdmissionOptions,
    /// The weights of placement.
    pub placement: PlacementOptions,
    /// The number of nodes that send work to the same engines.
    pub nodes: usize,
}

impl Default for SchedulerOptions {
    fn default() -> Self {
        SchedulerOptions {
            admission: AdmissionOptions::default(),
            placement: PlacementOptions::default(),
            nodes: 1,
        }
    }
}

/// A `Scheduler` takes the requests of one service from arrival to their place on an engine.
pub struct Scheduler {
    admission: Admission,
    placement: Box<dyn Placement>,
    nodes: usize,
    workers: Vec<WorkerView>,
    recent: BTreeMap<WorkerKey, VecDeque<Change>>,
    waiting: BTreeMap<Ticket, PlacementRequest>,
    running: BTreeMap<Ticket, Run>,
}

/// A change of an engine's load that the next report may not yet show.
#[derive(Clone, Copy, Debug)]
struct Change {
    at: Stamp,
    requests: i32,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    worker: Option<WorkerKey>,
    tokens: u32,
    since: Stamp,
    predicted: Duration,
    wrote: bool,
}

impl Scheduler {
    /// Returns a lane without engines that places by [`PredictedLatency`].
    pub fn new(options: SchedulerOptions) -> Scheduler {
        let placement = Box::new(PredictedLatency::new(options.placement.clone()));
        Scheduler::with_placement(options, placement)
    }

    /// Returns a lane without engines.
    pub fn with_placement(options: SchedulerOptions, placement: Box<dyn Placement>) -> Scheduler {
        Scheduler {
            admission: Admission::new(options.admission),
            placement,
            nodes: options.nodes.max(1),
            workers: Vec::new(),
            recent: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Returns the engines.
    pub fn workers(&self) -> &[WorkerView] {
        &self.workers
    }

    /// Returns the queue.
    pub fn admission(&self) -> &Admission {
        &self.admission
    }

    /// Returns whether nothing waits and nothing runs.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns the engine that a started request was placed on.
    pub fn worker_of(&self, ticket: Ticket) -> Option<WorkerKey> {
        self.running.get(&ticket)?.worker
    }

    /// Sets the shares of the teams.
    pub fn set_shares(&mut self, shares: BTreeMap<TeamName, u32>) {
        self.admission.set_shares(shares);
    }

    /// Sets how many nodes send work to the same engines.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Takes a request in.
    pub fn submit(
        &mut self,
        now: Stamp,
        wait: AdmissionRequest,
        req: PlacementRequest,
        random: &mut dyn Rng,
    ) -> (Ticket, Vec<SchedulerAction>) {
        let (ticket, decisions) = self.admission.arrive(now, wait, random);
        self.waiting.insert(ticket, req);
        (ticket, self.carry_out(now, decisions, random))
    }

    /// Notes that a started request no longer runs.
    pub fn finished(
        &mut self,
        now: Stamp,
        ticket: Ticket,
        random: &mut dyn Rng,
    ) -> Vec<SchedulerAction> {
        if let Some(run) = self.running.remove(&ticket) {
            self.change(now, run.worker, -1);
            if let Some(worker) = self.worker_mut(run.worker) {
                worker.outstanding = worker.outstanding.saturating_sub(1);
                worker.outstanding_tokens = worker.outstanding_tokens.saturating_sub(run.tokens);
            }
        }
        let decisions = self.admission.finish(now, ticket);
        self.carry_out(now, decisions, random)
    }

    /// Notes that a started request got its first token.
    pub fn first_token(&mut self, now: Stamp, ticket: Ticket) {
        let Some(run) = self.running.get_mut(&ticket) else { return };
        if std::mem::replace(&mut run.wrote, true) {
            return;
        }
        let took = now.since(run.since).max(LEAST_PREDICTION);
        let ratio = took.as_secs_f32() / run.predicted.max(LEAST_PREDICTION).as_secs_f32();
        let worker = run.worker;
        let Some(worker) = self.worker_mut(worker) else { return };
        worker.slowness += SLOWNESS_NEWEST * (ratio - 1.0) * worker.slowness;
        worker.slowness = worker.slowness.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
    }

    /// Puts engines in place of the present ones; what was learnt of those that stay is kept.
    pub fn set_workers(
        &mut self,
        now: Stamp,
        workers: Vec<WorkerView>,
        random: &mut dyn Rng,
    ) -> Vec<SchedulerAction> {
        let before = std::mem::replace(&mut self.workers, workers);
        for worker in &mut self.workers {
            let Some(known) = before.iter().find(|known| known.key == worker.key) else { continue };
            let (price, reclaimable) = (worker.price, worker.reclaimable);
            let (network_latency, role) = (worker.network_latency, worker.role);
            let open = worker.open && known.open;
            *worker =
                WorkerView { price, reclaimable, network_latency, role, open, ..known.clone() };
        }
        for known in before {
            if self.workers.iter().any(|worker| worker.key == known.key) {
                continue;
            }
            self.placement.forget(known.key);
            self.recent.remove(&known.key);
        }
        self.resize(now, random)
    }

    /// Closes an engine for new work for good: its VM is leaving.
    pub fn close(
        &mut self,
        now: Stamp,
        key: WorkerKey,
        random: &mut dyn Rng,
    ) -> Vec<SchedulerAction> {
        if let Some(worker) = self.worker_mut(Some(key)) {
            worker.open = false;
        }
        self.resize(now, random)
    }

    /// Takes in an engine's report of its load.
    pub fn report(
        &mut self,
        now: Stamp,
        key: WorkerKey,
        report: LoadReport,
        random: &mut dyn Rng,
    ) -> Vec<SchedulerAction> {
        let recent = self.recent.entry(key).or_default();
        while recent.front().is_some_and(|change| change.at <= report.taken_at) {
            recent.pop_front();
        }
        let requests: i32 = recent.iter().map(|change| change.requests).sum();
        let requests = requests.saturating_mul(self.sharers());
        if let Some(worker) = self.worker_mut(Some(key)) {
            worker.reported_running = report.running;
            worker.reported_waiting = report.waiting;
            worker.reported_backlog = report.backlog;
            worker.reported_at = report.taken_at;
            worker.step = report.step;
            worker.since_requests = requests;
            // An engine that is shunned gets no first tokens that could show it to be well again.
            worker.slowness = 1.0 + (worker.slowness - 1.0) * SLOWNESS_KEPT;
        }
        self.resize(now, random)
    }

    /// Notes that an engine's prefix cache took in a block or dropped it.
    pub fn note_cache(&mut self, key: WorkerKey, block: u64, held: bool) {
        self.placement.note_cache(key, block, held);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Stamp, random: &mut dyn Rng) -> Vec<SchedulerAction> {
        let decisions = self.admission.tick(now);
        self.carry_out(now, decisions, random)
    }

    // Reports lag, so all nodes see the same free places for a while. If each took them all, the
    // engines would get several times what they can hold and first tokens would wait there. A
    // node takes its part of what is free, and keeps its part of the whole in any case: it would
    // otherwise never start while its neighbours fill the engines.
    fn resize(&mut self, now: Stamp, random: &mut dyn Rng) -> Vec<SchedulerAction> {
        let (mut load, mut slots, mut own) = (0_usize, 0_usize, 0_usize);
        for worker in self.workers.iter().filter(|worker| worker.open) {
            load += worker.load() as usize;
            slots += worker.slots as usize;
            own += worker.outstanding as usize;
        }
        let part = slots.div_ceil(self.nodes);
        let free = slots.saturating_sub(load) / self.nodes;
        let excess = load.saturating_sub(slots).div_ceil(self.nodes);
        let capacity = part.max((own + free).saturating_sub(excess));
        let decisions = self.admission.set_capacity(now, capacity);
        self.carry_out(now, decisions, random)
    }

    fn carry_out(
        &mut self,
        now: Stamp,
        decisions: Vec<Decision>,
        random: &mut dyn Rng,
    ) -> Vec<SchedulerAction> {
        let mut out = Vec::with_capacity(decisions.len());
        for decision in decisions {
            match decision {
                Decision::Accept(ticket) => out.push(SchedulerAction::Accept(ticket)),
                Decision::Refuse(ticket, after) => {
                    self.waiting.remove(&ticket);
                    out.push(SchedulerAction::Refuse(ticket, after));
                }
                Decision::Expire(ticket) => {
                    self.waiting.remove(&ticket);
                    out.push(SchedulerAction::Expire(ticket));
                }
                Decision::Start(ticket) => out.push(self.place(now, ticket, random)),
            }
        }
        out
    }

    fn place(&mut self, now: Stamp, ticket: Ticket, random: &mut dyn Rng) -> SchedulerAction {
        let req = self.waiting.remove(&ticket).unwrap_or_default();
        let placed = self.placement.place(now, &req, &self.workers, random);
        let worker = placed.map(|placed| placed.worker);
        let to_compute = placed.map_or(0, |placed| placed.to_compute);
        let tokens = req.prompt_tokens + req.answer_tokens;
        let mut run = Run { worker, tokens, since: now, predicted: Duration::ZERO, wrote: false };
        if let Some(worker) = self.worker_mut(worker) {
            worker.send(now, to_compute);
            let per_second = f64::from(worker.prefill_per_second.max(1));
            let seconds = f64::from(worker.backlog(now)) / per_second;
            run.predicted = worker.step + Duration::from_secs_f64(seconds);
            worker.outstanding += 1;
            worker.outstanding_tokens += tokens;
        }
        self.running.insert(ticket, run);
        self.change(now, worker, 1);
        worker.map_or(SchedulerAction::NoWorker(ticket), |key| SchedulerAction::Start(ticket, key))
    }

    fn change(&mut self, now: Stamp, key: Option<WorkerKey>, requests: i32) {
        let unseen = requests.saturating_mul(self.sharers());
        let Some(worker) = self.worker_mut(key) else { return };
        worker.since_requests += unseen;
        let key = worker.key;
        self.recent.entry(key).or_default().push_back(Change { at: now, requests });
    }

    // What other nodes do between two reports is not seen. They see the same reports and act by
    // the same rules, so each change here is taken to happen at every one of them. Without this
    // the first tokens of a burst waited twice as long, all nodes having chosen the same engines.
    fn sharers(&self) -> i32 {
        i32::try_from(self.nodes).unwrap_or(i32::MAX)
    }

    fn worker_mut(&mut self, key: Option<WorkerKey>) -> Option<&mut WorkerView> {
        let key = key?;
        self.workers.iter_mut().find(|worker| worker.key == key)
    }
}
