//! One simulation: nodes, engines, faults and requests in virtual time.

use std::{
    collections::{BTreeMap, VecDeque},
    iter::Peekable,
    time::Duration,
};

use bulrushhall_core::{FencingNumber, Incarnation, ModelName, RequestId, Stamp, TeamName};
use bulrushhall_external::engine::{Frame, Generate};
use bulrushhall_policy::{
    AdmissionOptions, AdmissionRequest, LoadReport, MoveDecision, MoveOptions, PlacementOptions,
    PlacementRegistry, PlacementRequest, Scheduler, SchedulerAction, SchedulerOptions, Ticket,
    WorkerKey, WorkerView, plan_moves, prefix::block_hashes, reclaim::RunningRequest,
};
use bulrushhall_standin::engine::Output;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64;

use crate::policy::{
    Arrival, Cluster, DeploymentSpec, Outcome, Recovery, Scenario, Setup, Workload,
    cluster::{RECLAIM_NOTICE, WorkerEvent},
};

/// The step of virtual time.
const STEP: Duration = Duration::from_millis(2);
/// When the last request arrives.
const ARRIVALS_END: Stamp = Stamp::from_millis(120_000);
/// When a simulation ends.
const END: Stamp = Stamp::from_millis(150_000);
/// When latencies are recorded from in scenarios without a fault or burst.
const WARM_UP_END: Stamp = Stamp::from_millis(10_000);
/// The number of steps between two load reports of an engine.
const REPORT_STEPS: u64 = 125;
/// The number of steps between two ticks of the schedulers.
const TICK_STEPS: u64 = 25;
/// The number of steps between two runs of the planner.
const PLAN_STEPS: u64 = 250;
/// The delay until the nodes act on the notice of a reclaim.
const NOTICE_DELAY: Duration = Duration::from_millis(300);
/// The delay of load reports.
const REPORT_DELAY: Duration = Duration::from_millis(500);
/// The delay of cache events.
const CACHE_EVENT_DELAY: Duration = Duration::from_millis(800);
/// The share of cache events that are lost.
const CACHE_EVENT_LOSS: f64 = 0.05;
/// The time limit for the first token of an urgent answer.
const FIRST_TOKEN_DEADLINE: Duration = Duration::from_millis(1_900);
/// The time limit for a complete urgent answer.
const URGENT_DEADLINE: Duration = Duration::from_secs(60);
/// The time limit for a complete patient answer.
const PATIENT_DEADLINE: Duration = Duration::from_secs(600);

/// A `Delayed` is a message on its way to the nodes or to an engine.
enum Delayed {
    Report(WorkerKey, LoadReport),
    CacheEvent(WorkerKey, u64, bool),
    Notice(WorkerKey),
    Submit { request: u64, to: WorkerKey },
}

struct Request {
    arrival: Arrival,
    node: usize,
    ticket: Option<Ticket>,
    worker: Option<WorkerKey>,
    attempt: u32,
    emitted: Vec<String>,
    last_token: Option<Stamp>,
    first_token_late: bool,
    /// When the move of the KV cache ends; until then the request runs on its old worker.
    moved_at: Option<Stamp>,
}

struct Simulation {
    now: Stamp,
    steps: u64,
    spec: DeploymentSpec,
    setup: Setup,
    measured_from: Stamp,
    random: Pcg64Mcg,
    workload: Peekable<Workload>,
    cluster: Cluster,
    schedulers: Vec<Scheduler>,
    tickets: Vec<BTreeMap<Ticket, u64>>,
    requests: BTreeMap<u64, Request>,
    next_request: u64,
    delayed: BTreeMap<(Stamp, u64), Delayed>,
    next_delayed: u64,
    teams: Vec<TeamName>,
    model: ModelName,
    outcome: Outcome,
}

/// Simulates a setup of a deployment under a scenario and returns its result.
pub fn run(spec: &DeploymentSpec, setup: Setup, scenario: Scenario, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(spec, setup, scenario, seed);
    let mut faults: VecDeque<_> = scenario.faults().into();
    while simulation.now < END {
        while let Some((_, fault)) = faults.pop_front_if(|(at, _)| *at <= simulation.now) {
            let events = simulation.cluster.inject_fault(simulation.now, fault);
            simulation.handle_events(events);
        }
        simulation.step();
    }
    simulation.finish()
}

impl Simulation {
    fn new(spec: &DeploymentSpec, setup: Setup, scenario: Scenario, seed: u64) -> Simulation {
        let options = SchedulerOptions {
            admission: AdmissionOptions::default(),
            placement: PlacementOptions {
                cost: spec.cost,
                recomputed: spec.recomputed,
                ..PlacementOptions::default()
            },
            nodes: spec.nodes,
        };
        let registry = PlacementRegistry::default();
        let mut schedulers = Vec::new();
        for _ in 0..spec.nodes {
            let placement = registry.make(setup.placement, &options.placement);
            let placement = placement.unwrap_or_else(|| unreachable!("a registered placement"));
            schedulers.push(Scheduler::with_placement(options.clone(), placement));
        }
        let names = ["kilns", "archive", "glaze", "church", "studio"];
        let faulty = !scenario.faults().is_empty() || scenario == Scenario::Burst;
        Simulation {
            now: Stamp(0),
            steps: 0,
            spec: spec.clone(),
            setup,
            measured_from: if faulty { Scenario::EVENT } else { WARM_UP_END },
            random: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            workload: Workload::new(spec, scenario, seed).peekable(),
            cluster: Cluster::new(spec, &setup),
            tickets: vec![BTreeMap::new(); schedulers.len()],
            schedulers,
            requests: BTreeMap::new(),
            next_request: 0,
            delayed: BTreeMap::new(),
            next_delayed: 0,
            teams: names.iter().filter_map(|name| TeamName::new(name).ok()).collect(),
            model: ModelName::new("motif-7b").unwrap_or_else(|_| unreachable!("a valid name")),
            outcome: Outcome::default(),
        }
    }

    fn step(&mut self) {
        let events = self.cluster.take_events(self.now);
        self.handle_events(events);
        while let Some(arrival) = self.workload.next_if(|arrival| arrival.at <= self.now) {
            if arrival.at < ARRIVALS_END {
                self.handle_arrival(arrival);
            }
        }
        self.deliver_due();
        let keys: Vec<WorkerKey> = self.cluster.workers.keys().collect();
        for key in keys {
            let outputs = self.cluster.workers[key].advance(self.now);
            for output in outputs {
                self.handle_output(key, output);
            }
        }
        if self.steps.is_multiple_of(REPORT_STEPS) {
            self.send_reports();
        }
        if self.steps.is_multiple_of(TICK_STEPS) {
            for node in 0..self.schedulers.len() {
                let actions = self.schedulers[node].tick(self.now, &mut self.random);
                self.execute(node, actions);
            }
        }
        if self.steps.is_multiple_of(PLAN_STEPS) {
            let events = self.cluster.plan(self.now, &mut self.outcome);
            self.handle_events(events);
            self.release_empty();
        }
        self.steps += 1;
        self.now = self.now + STEP;
    }

    fn finish(mut self) -> Outcome {
        let keys: Vec<WorkerKey> = self.cluster.workers.keys().collect();
        for key in keys {
            self.cluster.remove(self.now, key, &mut self.outcome);
        }
        self.outcome
    }

    fn handle_arrival(&mut self, arrival: Arrival) {
        if arrival.priority == 0 {
            self.outcome.urgent_arrived[arrival.team] += 1;
        }
        let number = self.next_request;
        self.next_request += 1;
        let node = self.random.random_range(0..self.schedulers.len());
        self.requests.insert(
            number,
            Request {
                arrival,
                node,
                ticket: None,
                worker: None,
                attempt: 0,
                emitted: Vec::new(),
                last_token: None,
                first_token_late: false,
                moved_at: None,
            },
        );
        self.submit(number, &[]);
    }

    // Submits a request to its node's scheduler; one that has run before counts as accepted, so it
    // can't be refused.
    fn submit(&mut self, number: u64, avoid: &[WorkerKey]) {
        let Some(request) = self.requests.get(&number) else { return };
        let Arrival { at, team, priority, ref prompt, prompt_tokens, max_tokens } = request.arrival;
        let emitted = u32::try_from(request.emitted.len()).unwrap_or(u32::MAX);
        let deadline = if priority == 0 { URGENT_DEADLINE } else { PATIENT_DEADLINE };
        let admission = AdmissionRequest {
            team: self.teams[team].clone(),
            priority,
            tokens: prompt_tokens + max_tokens,
            first_token_by: at + FIRST_TOKEN_DEADLINE,
            deadline: at + deadline,
            accepted: 0 < request.attempt,
        };
        let placement = PlacementRequest {
            prefix: block_hashes(prompt),
            prompt_tokens: prompt_tokens + emitted,
            answer_tokens: max_tokens - emitted,
            avoid: avoid.to_vec(),
            ..PlacementRequest::default()
        };
        let node = request.node;
        let (ticket, actions) =
            self.schedulers[node].submit(self.now, admission, placement, &mut self.random);
        self.tickets[node].insert(ticket, number);
        if let Some(request) = self.requests.get_mut(&number) {
            request.ticket = Some(ticket);
        }
        self.execute(node, actions);
    }

    fn execute(&mut self, node: usize, actions: Vec<SchedulerAction>) {
        for action in actions {
            match action {
                SchedulerAction::Accept(_) => {}
                SchedulerAction::Refuse(ticket, _) => {
                    self.outcome.refused += 1;
                    self.drop_request(node, ticket);
                }
                SchedulerAction::Expire(ticket) => {
                    self.outcome.expired += 1;
                    self.drop_request(node, ticket);
                }
                SchedulerAction::Start(ticket, key) => self.start(node, ticket, key),
                SchedulerAction::NoWorker(ticket) => {
                    let Some(number) = self.tickets[node].get(&ticket).copied() else { continue };
                    if let Some(request) = self.requests.get_mut(&number) {
                        request.attempt += 1;
                    }
                    self.finish_ticket(number);
                    self.submit(number, &[]);
                }
            }
        }
    }

    fn drop_request(&mut self, node: usize, ticket: Ticket) {
        let Some(number) = self.tickets[node].remove(&ticket) else { return };
        self.requests.remove(&number);
    }

    fn start(&mut self, node: usize, ticket: Ticket, to: WorkerKey) {
        let Some(&number) = self.tickets[node].get(&ticket) else {
            // The request finished on its old engine while it waited for a new one.
            let actions = self.schedulers[node].finished(self.now, ticket, &mut self.random);
            self.execute(node, actions);
            return;
        };
        let Some(request) = self.requests.get(&number) else { return };
        // The request is sent to the engine right away, but arrives only after its KV cache.
        let arrives_at = self.now + self.latency_to(request.node, to);
        let at = request.moved_at.map_or(arrives_at, |moved| moved.max(arrives_at));
        self.schedule(at, Delayed::Submit { request: number, to });
    }

    fn submit_to_engine(&mut self, number: u64, to: WorkerKey) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let id = request_id(number);
        if let Some(from) = request.worker.take()
            && let Some(old) = self.cluster.workers.get_mut(from)
        {
            let blocks = old.export(id);
            old.engine.cancel(id);
            if let Some(new) = self.cluster.workers.get_mut(to) {
                new.engine.import(&blocks);
            }
        }
        request.moved_at = None;
        request.worker = Some(to);
        let generate = Generate {
            request: id,
            attempt: request.attempt,
            model: self.model.clone(),
            prompt: request.arrival.prompt.clone(),
            emitted: request.emitted.clone(),
            max_tokens: request.arrival.max_tokens,
            priority: request.arrival.priority,
            fence: FencingNumber(0),
        };
        match self.cluster.workers.get_mut(to) {
            Some(worker) => worker.submit(self.now, generate),
            None => self.resume(number, to),
        }
    }

    fn handle_output(&mut self, key: WorkerKey, output: Output) {
        let number = output.request.sequence;
        let Some(request) = self.requests.get_mut(&number) else { return };
        if request.worker != Some(key) {
            return;
        }
        let urgent = request.arrival.priority == 0;
        match output.frame {
            Frame::Token(token) => {
                let measured = urgent && self.measured_from <= request.arrival.at;
                let node = request.node;
                let (at, last) = (request.arrival.at, request.last_token.replace(self.now));
                let first = last.is_none();
                request.emitted.push(token);
                let latency = self.latency_to(node, key);
                if measured && first {
                    self.outcome
                        .first_tokens
                        .saturating_record(micros(self.now.since(at) + latency));
                }
                if let Some(last) = last.filter(|_| urgent && self.measured_from <= self.now) {
                    self.outcome.gaps.saturating_record(micros(self.now.since(last)));
                }
                self.note_first_token(number, first, latency);
            }
            Frame::Done(_) => {
                self.finish_ticket(number);
                let Some(request) = self.requests.remove(&number) else { return };
                if !urgent {
                    self.outcome.patient_finished += 1;
                    return;
                }
                self.outcome.urgent_finished += 1;
                let in_time = !request.first_token_late;
                self.outcome.urgent_in_time[request.arrival.team] += u64::from(in_time);
            }
        }
    }

    fn note_first_token(&mut self, number: u64, first: bool, latency: Duration) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let elapsed = micros(self.now.since(request.arrival.at) + latency);
        if first && !Outcome::is_in_time(elapsed) {
            request.first_token_late = true;
        }
        let (node, ticket) = (request.node, request.ticket);
        if let Some(ticket) = ticket {
            self.schedulers[node].first_token(self.now, ticket);
        }
    }

    fn finish_ticket(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let node = request.node;
        let Some(ticket) = request.ticket.take() else { return };
        self.tickets[node].remove(&ticket);
        let actions = self.schedulers[node].finished(self.now, ticket, &mut self.random);
        self.execute(node, actions);
    }

    fn handle_events(&mut self, events: Vec<WorkerEvent>) {
        for event in events {
            match event {
                WorkerEvent::Ready(_) => self.set_workers(),
                WorkerEvent::ReclaimNotice(key) => {
                    self.schedule(self.now + NOTICE_DELAY, Delayed::Notice(key))
                }
                WorkerEvent::Drain(key) => self.close(key),
                WorkerEvent::Terminated(key) => self.remove_worker(key),
            }
        }
    }

    fn set_workers(&mut self) {
        for node in 0..self.schedulers.len() {
            let mut views = Vec::new();
            for worker in self.cluster.workers.values() {
                if self.now < worker.ready_at {
                    continue;
                }
                views.push(WorkerView {
                    key: worker.key,
                    identity: xxh3_64(worker.vm.as_str().as_bytes()),
                    open: !worker.leaving,
                    network_latency: self.latency_to(node, worker.key),
                    slots: 24,
                    price: self.cluster.price(worker),
                    reclaimable: worker.terminates_at.is_none(),
                    reclaims_per_hour: 0.5,
                    ..WorkerView::default()
                });
            }
            let actions = self.schedulers[node].set_workers(self.now, views, &mut self.random);
            self.execute(node, actions);
        }
    }

    fn close(&mut self, key: WorkerKey) {
        for node in 0..self.schedulers.len() {
            let actions = self.schedulers[node].close(self.now, key, &mut self.random);
            self.execute(node, actions);
        }
    }

    // Handles the notice of a reclaim on all nodes: closes the worker and plans the moves.
    fn handle_notice(&mut self, key: WorkerKey) {
        self.close(key);
        if self.setup.recovery != Recovery::Move {
            return;
        }
        let Some(worker) = self.cluster.workers.get(key) else { return };
        let step = Duration::from_micros(worker.load().step_micros.into());
        let affected = self.requests.iter().filter(|(_, request)| request.worker == Some(key));
        let running: Vec<RunningRequest<u64>> = affected
            .map(|(number, request)| {
                let emitted = u32::try_from(request.emitted.len()).unwrap_or(u32::MAX);
                RunningRequest {
                    key: *number,
                    tokens: request.arrival.prompt_tokens + emitted,
                    cached_at_target: 0,
                    remaining: step * (request.arrival.max_tokens - emitted),
                }
            })
            .collect();
        let options = MoveOptions { recomputed: self.spec.recomputed, ..MoveOptions::default() };
        let time_left = RECLAIM_NOTICE.saturating_sub(NOTICE_DELAY);
        for (number, decision) in plan_moves(time_left, &running, &options) {
            let MoveDecision::Move(duration) = decision else { continue };
            self.finish_ticket(number);
            if let Some(request) = self.requests.get_mut(&number) {
                request.attempt += 1;
                request.moved_at = Some(self.now + duration);
            }
            self.submit(number, &[key]);
        }
    }

    fn remove_worker(&mut self, key: WorkerKey) {
        self.cluster.remove(self.now, key, &mut self.outcome);
        let affected = self.requests.iter().filter(|(_, request)| request.worker == Some(key));
        let affected: Vec<u64> = affected.map(|(number, _)| *number).collect();
        for number in affected {
            self.resume(number, key);
        }
        self.set_workers();
    }

    fn resume(&mut self, number: u64, from: WorkerKey) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.worker = None;
        // A request whose KV cache was being moved is already queued for a new worker.
        if request.moved_at.take().is_some() {
            return;
        }
        request.attempt += 1;
        if self.setup.recovery == Recovery::Restart {
            self.outcome.recomputed += request.emitted.len() as u64;
            request.emitted.clear();
        }
        self.finish_ticket(number);
        self.submit(number, &[from]);
    }

    fn release_empty(&mut self) {
        let leaving = self.cluster.workers.values().filter(|worker| worker.leaving);
        let keys: Vec<WorkerKey> = leaving
            .filter(|worker| worker.terminates_at.is_none())
            .map(|worker| worker.key)
            .collect();
        for key in keys {
            if self.requests.values().any(|request| request.worker == Some(key)) {
                continue;
            }
            self.remove_worker(key);
        }
    }

    fn send_reports(&mut self) {
        let mut messages = Vec::new();
        for worker in self.cluster.workers.values_mut() {
            let load = worker.load();
            let report = LoadReport {
                running: load.running,
                waiting: load.waiting,
                backlog: load.prefill_backlog,
                step: Duration::from_micros(load.step_micros.into()),
                taken_at: self.now,
            };
            messages.push((REPORT_DELAY, Delayed::Report(worker.key, report)));
            for (block, cached) in worker.engine.take_cache_changes() {
                if !self.random.random_bool(CACHE_EVENT_LOSS) {
                    messages
                        .push((CACHE_EVENT_DELAY, Delayed::CacheEvent(worker.key, block, cached)));
                }
            }
        }
        for (delay, delayed) in messages {
            self.schedule(self.now + delay, delayed);
        }
    }

    fn schedule(&mut self, at: Stamp, delayed: Delayed) {
        self.next_delayed += 1;
        self.delayed.insert((at, self.next_delayed), delayed);
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.delayed.first_entry() {
            if self.now < entry.key().0 {
                return;
            }
            match entry.remove() {
                Delayed::Report(key, report) => {
                    for node in 0..self.schedulers.len() {
                        let scheduler = &mut self.schedulers[node];
                        let actions = scheduler.report(self.now, key, report, &mut self.random);
                        self.execute(node, actions);
                    }
                }
                Delayed::CacheEvent(key, block, cached) => {
                    for scheduler in &mut self.schedulers {
                        scheduler.note_cache(key, block, cached);
                    }
                }
                Delayed::Notice(key) => self.handle_notice(key),
                Delayed::Submit { request, to } => self.submit_to_engine(request, to),
            }
        }
    }

    fn latency_to(&self, node: usize, to: WorkerKey) -> Duration {
        let zone = self.cluster.workers.get(to).map_or(0, |worker| worker.zone);
        if node % self.spec.zones.len() == zone { Duration::ZERO } else { self.spec.zone_latency }
    }
}

fn request_id(number: u64) -> RequestId {
    RequestId { origin: Incarnation(1), sequence: number }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
