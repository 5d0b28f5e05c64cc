//! The scheduler of one service at one node: admission queue, views of the engines, and placement.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use bulrushhall_core::{Stamp, TeamName, bounded_seconds};
use rand::Rng;

use crate::{
    admission::{Admission, AdmissionOptions, AdmissionRequest, Decision, Ticket},
    placement::{
        LoadReport, Placement, PlacementOptions, PlacementRequest, PredictedLatency, WorkerKey,
        WorkerView,
    },
};

/// The weight of a new sample in the slowness of an engine.
const SLOWNESS_SAMPLE_WEIGHT: f32 = 0.2;
/// The minimum and maximum slowness of an engine.
const SLOWNESS_BOUNDS: (f32, f32) = (0.5, 8.0);
/// The factor by which the difference between slowness and 1 decays with each load report.
const SLOWNESS_DECAY: f32 = 0.98;
/// The minimum time to first token for the computation of slowness.
const MIN_FIRST_TOKEN: Duration = Duration::from_millis(20);

/// A `SchedulerAction` is an output of a [`Scheduler`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerAction {
    /// The request is accepted and waits.
    Accept(Ticket),
    /// The request is refused; the caller may retry after the given time.
    Refuse(Ticket, Duration),
    /// The request starts on this engine now.
    Start(Ticket, WorkerKey),
    /// The request was due to start, but no engine accepts work.
    NoWorker(Ticket),
    /// The deadline of the request passed while it waited.
    Expire(Ticket),
}

/// `SchedulerOptions` are the options of a [`Scheduler`].
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerOptions {
    /// The options of the admission queue.
    pub admission: AdmissionOptions,
    /// The options of placement.
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

/// A `Scheduler` queues the requests of one service and places them on engines.
pub struct Scheduler {
    admission: Admission,
    placement: Box<dyn Placement>,
    nodes: usize,
    workers: Vec<WorkerView>,
    unreported_changes: BTreeMap<WorkerKey, VecDeque<LoadChange>>,
    waiting: BTreeMap<Ticket, PlacementRequest>,
    running: BTreeMap<Ticket, RunningRequest>,
}

/// A change of the load of an engine that the next report may not include yet.
#[derive(Clone, Copy, Debug)]
struct LoadChange {
    at: Stamp,
    requests: i32,
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    worker: Option<WorkerKey>,
    tokens: u32,
    started_at: Stamp,
    predicted_first_token: Duration,
    has_first_token: bool,
}

impl Scheduler {
    /// Returns a scheduler without engines that places requests by [`PredictedLatency`].
    pub fn new(options: SchedulerOptions) -> Scheduler {
        let placement = Box::new(PredictedLatency::new(options.placement.clone()));
        Scheduler::with_placement(options, placement)
    }

    /// Returns a scheduler without engines and with the given placement policy.
    pub fn with_placement(options: SchedulerOptions, placement: Box<dyn Placement>) -> Scheduler {
        Scheduler {
            admission: Admission::new(options.admission),
            placement,
            nodes: options.nodes.max(1),
            workers: Vec::new(),
            unreported_changes: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Returns the engines.
    pub fn workers(&self) -> &[WorkerView] {
        &self.workers
    }

    /// Returns the admission queue.
    pub fn admission(&self) -> &Admission {
        &self.admission
    }

    /// Returns whether no request waits or runs.
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

    /// Submits a new request.
    pub fn submit(
        &mut self,
        now: Stamp,
        admission: AdmissionRequest,
        req: PlacementRequest,
        random: &mut dyn Rng,
    ) -> (Ticket, Vec<SchedulerAction>) {
        let (ticket, decisions) = self.admission.submit(now, admission, random);
        self.waiting.insert(ticket, req);
        (ticket, self.apply(now, decisions, random))
    }

    /// Records that a started request has ended.
    pub fn finished(
        &mut self,
        now: Stamp,
        ticket: Ticket,
        random: &mut dyn Rng,
    ) -> Vec<SchedulerAction> {
        if let Some(run) = self.running.remove(&ticket) {
            self.record_change(now, run.worker, -1);
            if let Some(worker) = self.worker_mut(run.worker) {
                worker.outstanding = worker.outstanding.saturating_sub(1);
                worker.outstanding_tokens = worker.outstanding_tokens.saturating_sub(run.tokens);
            }
        }
        let decisions = self.admission.finish(now, ticket);
        self.apply(now, decisions, random)
    }

    /// Records the first token of a started request.
    pub fn first_token(&mut self, now: Stamp, ticket: Ticket) {
        let Some(run) = self.running.get_mut(&ticket) else { return };
        if std::mem::replace(&mut run.has_first_token, true) {
            return;
        }
        let took = now.since(run.started_at).max(MIN_FIRST_TOKEN);
        let ratio =
            took.as_secs_f32() / run.predicted_first_token.max(MIN_FIRST_TOKEN).as_secs_f32();
        let worker = run.worker;
        let Some(worker) = self.worker_mut(worker) else { return };
        worker.slowness += SLOWNESS_SAMPLE_WEIGHT * (ratio - 1.0) * worker.slowness;
        worker.slowness = worker.slowness.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
    }

    /// Replaces the set of engines; the learned state of those that remain is kept.
    pub fn set_workers(
        &mut self,
        now: Stamp,
        workers: Vec<WorkerView>,
        random: &mut dyn Rng,
    ) -> Vec<SchedulerAction> {
        let previous = std::mem::replace(&mut self.workers, workers);
        for worker in &mut self.workers {
            let Some(known) = previous.iter().find(|known| known.key == worker.key) else {
                continue;
            };
            let (price, reclaimable) = (worker.price, worker.reclaimable);
            let (network_latency, role) = (worker.network_latency, worker.role);
            let open = worker.open && known.open;
            *worker =
                WorkerView { price, reclaimable, network_latency, role, open, ..known.clone() };
        }
        for known in previous {
            if self.workers.iter().any(|worker| worker.key == known.key) {
                continue;
            }
            self.placement.remove_worker(known.key);
            self.unreported_changes.remove(&known.key);
        }
        self.update_capacity(now, random)
    }

    /// Closes an engine to new work permanently, because its VM is leaving.
    pub fn close(
        &mut self,
        now: Stamp,
        key: WorkerKey,
        random: &mut dyn Rng,
    ) -> Vec<SchedulerAction> {
        if let Some(worker) = self.worker_mut(Some(key)) {
            worker.open = false;
        }
        self.update_capacity(now, random)
    }

    /// Receives a load report of an engine.
    pub fn report(
        &mut self,
        now: Stamp,
        key: WorkerKey,
        report: LoadReport,
        random: &mut dyn Rng,
    ) -> Vec<SchedulerAction> {
        let changes = self.unreported_changes.entry(key).or_default();
        while changes.front().is_some_and(|change| change.at <= report.taken_at) {
            changes.pop_front();
        }
        let requests: i32 = changes.iter().map(|change| change.requests).sum();
        let requests = requests.saturating_mul(self.node_factor());
        if let Some(worker) = self.worker_mut(Some(key)) {
            worker.reported_running = report.running;
            worker.reported_waiting = report.waiting;
            worker.reported_backlog = report.backlog;
            worker.reported_at = report.taken_at;
            worker.step = report.step;
            worker.unreported_requests = requests;
            // An engine that gets no requests yields no samples, so its slowness decays by itself.
            worker.slowness = 1.0 + (worker.slowness - 1.0) * SLOWNESS_DECAY;
        }
        self.update_capacity(now, random)
    }

    /// Records that an engine's prefix cache added or evicted a block; `cached` is whether it holds
    /// the block now.
    pub fn note_cache(&mut self, key: WorkerKey, block: u64, cached: bool) {
        self.placement.note_cache(key, block, cached);
    }

    /// Expires and starts requests that are due.
    pub fn tick(&mut self, now: Stamp, random: &mut dyn Rng) -> Vec<SchedulerAction> {
        let decisions = self.admission.tick(now);
        self.apply(now, decisions, random)
    }

    // Load reports lag, so all nodes see the same free slots for a while. If each node used them
    // all, the engines would get several times their capacity and first tokens would wait there. A
    // node uses its part of the free slots, and in any case its part of all slots: otherwise it
    // could never start requests while other nodes keep the engines full.
    fn update_capacity(&mut self, now: Stamp, random: &mut dyn Rng) -> Vec<SchedulerAction> {
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
        self.apply(now, decisions, random)
    }

    fn apply(
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
        let mut run = RunningRequest {
            worker,
            tokens,
            started_at: now,
            predicted_first_token: Duration::ZERO,
            has_first_token: false,
        };
        if let Some(worker) = self.worker_mut(worker) {
            worker.add_pending(now, to_compute);
            let per_second = f64::from(worker.prefill_per_second.max(1));
            let seconds = f64::from(worker.backlog(now)) / per_second;
            run.predicted_first_token = worker.step + bounded_seconds(seconds);
            worker.outstanding += 1;
            worker.outstanding_tokens += tokens;
        }
        self.running.insert(ticket, run);
        self.record_change(now, worker, 1);
        worker.map_or(SchedulerAction::NoWorker(ticket), |key| SchedulerAction::Start(ticket, key))
    }

    fn record_change(&mut self, now: Stamp, key: Option<WorkerKey>, requests: i32) {
        let all_nodes = requests.saturating_mul(self.node_factor());
        let Some(worker) = self.worker_mut(key) else { return };
        worker.unreported_requests += all_nodes;
        let key = worker.key;
        self.unreported_changes.entry(key).or_default().push_back(LoadChange { at: now, requests });
    }

    // Changes by other nodes between two reports are not visible. These nodes see the same reports
    // and apply the same rules, so each change here is assumed to happen at every node. Otherwise
    // all nodes choose the same engines, and the first tokens of a burst wait twice as long.
    fn node_factor(&self) -> i32 {
        i32::try_from(self.nodes).unwrap_or(i32::MAX)
    }

    fn worker_mut(&mut self, key: Option<WorkerKey>) -> Option<&mut WorkerView> {
        let key = key?;
        self.workers.iter_mut().find(|worker| worker.key == key)
    }
}
