//! One run: nodes, engines, faults and requests in virtual time.

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
    cluster::{Change, NOTICE},
};

/// The step of virtual time.
const STEP: Duration = Duration::from_millis(2);
/// When the last request arrives.
const ARRIVALS_END: Stamp = Stamp::from_millis(120_000);
/// When a run ends.
const END: Stamp = Stamp::from_millis(150_000);
/// When measuring begins where no fault sets the beginning.
const WARM: Stamp = Stamp::from_millis(10_000);
/// The steps between two reports of load.
const REPORT_STEPS: u64 = 125;
/// The steps between two ticks of the schedulers.
const TICK_STEPS: u64 = 25;
/// The steps between two looks of the planner.
const PLAN_STEPS: u64 = 250;
/// How long after a notice the nodes act on it.
const NOTICE_SPREAD: Duration = Duration::from_millis(300);
/// How far load reports lag behind.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// How far cache events lag behind.
const EVENT_LAG: Duration = Duration::from_millis(800);
/// The part of cache events that are lost.
const EVENT_LOSS: f64 = 0.05;
/// The time within which an urgent first token is to come.
const FIRST_TOKEN: Duration = Duration::from_millis(1_900);
/// The time within which an urgent answer is to be whole.
const URGENT_DEADLINE: Duration = Duration::from_secs(60);
/// The time within which a patient answer is to be whole.
const PATIENT_DEADLINE: Duration = Duration::from_secs(600);

/// Something that reaches the nodes later.
enum Late {
    Report(WorkerKey, LoadReport),
    Cache(WorkerKey, u64, bool),
    Act(WorkerKey),
    Arrive { request: u64, to: WorkerKey },
}

struct Request {
    arrival: Arrival,
    node: usize,
    ticket: Option<Ticket>,
    on: Option<WorkerKey>,
    attempt: u32,
    emitted: Vec<String>,
    last_token: Option<Stamp>,
    first_late: bool,
    /// When the KV cache has been moved, while the request goes on where it was.
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
    late: BTreeMap<(Stamp, u64), Late>,
    next_late: u64,
    teams: Vec<TeamName>,
    model: ModelName,
    outcome: Outcome,
}

/// Runs one setup of a deployment through a scenario.
pub fn run(spec: &DeploymentSpec, setup: Setup, scenario: Scenario, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(spec, setup, scenario, seed);
    let mut faults: VecDeque<_> = scenario.faults().into();
    while simulation.now < END {
        while let Some((_, fault)) = faults.pop_front_if(|(at, _)| *at <= simulation.now) {
            let changes = simulation.cluster.strike(simulation.now, fault);
            simulation.apply(changes);
        }
        simulation.step();
    }
    simulation.end()
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
            measured_from: if faulty { Scenario::EVENT } else { WARM },
            random: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            workload: Workload::new(spec, scenario, seed).peekable(),
            cluster: Cluster::new(spec, &setup),
            tickets: vec![BTreeMap::new(); schedulers.len()],
            schedulers,
            requests: BTreeMap::new(),
            next_request: 0,
            late: BTreeMap::new(),
            next_late: 0,
            teams: names.iter().filter_map(|name| TeamName::new(name).ok()).collect(),
            model: ModelName::new("motif-7b").unwrap_or_else(|_| unreachable!("a valid name")),
            outcome: Outcome::default(),
        }
    }

    fn step(&mut self) {
        let changes = self.cluster.changes(self.now);
        self.apply(changes);
        while let Some(arrival) = self.workload.next_if(|arrival| arrival.at <= self.now) {
            if arrival.at < ARRIVALS_END {
                self.arrive(arrival);
            }
        }
        self.deliver();
        let keys: Vec<WorkerKey> = self.cluster.machines.keys().collect();
        for key in keys {
            let outputs = self.cluster.machines[key].advance(self.now);
            for output in outputs {
                self.output(key, output);
            }
        }
        if self.steps.is_multiple_of(REPORT_STEPS) {
            self.report();
        }
        if self.steps.is_multiple_of(TICK_STEPS) {
            for node in 0..self.schedulers.len() {
                let actions = self.schedulers[node].tick(self.now, &mut self.random);
                self.carry_out(node, actions);
            }
        }
        if self.steps.is_multiple_of(PLAN_STEPS) {
            let changes = self.cluster.plan(self.now, &mut self.outcome);
            self.apply(changes);
            self.release_empty();
        }
        self.steps += 1;
        self.now = self.now + STEP;
    }

    fn end(mut self) -> Outcome {
        let keys: Vec<WorkerKey> = self.cluster.machines.keys().collect();
        for key in keys {
            self.cluster.remove(self.now, key, &mut self.outcome);
        }
        self.outcome
    }

    fn arrive(&mut self, arrival: Arrival) {
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
                on: None,
                attempt: 0,
                emitted: Vec::new(),
                last_token: None,
                first_late: false,
                moved_at: None,
            },
        );
        self.submit(number, &[]);
    }

    // Puts a request into its node's queue; one that ran before can't be refused.
    fn submit(&mut self, number: u64, avoid: &[WorkerKey]) {
        let Some(request) = self.requests.get(&number) else { return };
        let Arrival { at, team, priority, ref prompt, prompt_tokens, max_tokens } = request.arrival;
        let emitted = u32::try_from(request.emitted.len()).unwrap_or(u32::MAX);
        let deadline = if priority == 0 { URGENT_DEADLINE } else { PATIENT_DEADLINE };
        let wait = AdmissionRequest {
            team: self.teams[team].clone(),
            priority,
            tokens: prompt_tokens + max_tokens,
            first_token_by: at + FIRST_TOKEN,
            deadline: at + deadline,
            accepted: 0 < request.attempt,
        };
        let req = PlacementRequest {
            prefix: block_hashes(prompt),
            prompt_tokens: prompt_tokens + emitted,
            answer_tokens: max_tokens - emitted,
            avoid: avoid.to_vec(),
            ..PlacementRequest::default()
        };
        let node = request.node;
        let (ticket, actions) = self.schedulers[node].submit(self.now, wait, req, &mut self.random);
        self.tickets[node].insert(ticket, number);
        if let Some(request) = self.requests.get_mut(&number) {
            request.ticket = Some(ticket);
        }
        self.carry_out(node, actions);
    }

    fn carry_out(&mut self, node: usize, actions: Vec<SchedulerAction>) {
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
            // It ended on its old engine while it waited for a new one.
            let actions = self.schedulers[node].finished(self.now, ticket, &mut self.random);
            self.carry_out(node, actions);
            return;
        };
        let Some(request) = self.requests.get(&number) else { return };
        // The way there; a move of the KV cache has to end first.
        let way = self.now + self.distance(request.node, to);
        let at = request.moved_at.map_or(way, |moved| moved.max(way));
        self.later(at, Late::Arrive { request: number, to });
    }

    fn reach_engine(&mut self, number: u64, to: WorkerKey) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let id = id_of(number);
        if let Some(from) = request.on.take()
            && let Some(old) = self.cluster.machines.get_mut(from)
        {
            let blocks = old.export(id);
            old.engine.cancel(id);
            if let Some(new) = self.cluster.machines.get_mut(to) {
                new.engine.import(&blocks);
            }
        }
        request.moved_at = None;
        request.on = Some(to);
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
        match self.cluster.machines.get_mut(to) {
            Some(machine) => machine.submit(self.now, generate),
            None => self.resume(number, to),
        }
    }

    fn output(&mut self, key: WorkerKey, output: Output) {
        let number = output.request.sequence;
        let Some(request) = self.requests.get_mut(&number) else { return };
        if request.on != Some(key) {
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
                let way = self.distance(node, key);
                if measured && first {
                    self.outcome.first_tokens.saturating_record(micros(self.now.since(at) + way));
                }
                if let Some(last) = last.filter(|_| urgent && self.measured_from <= self.now) {
                    self.outcome.gaps.saturating_record(micros(self.now.since(last)));
                }
                self.note_first_token(number, first, way);
            }
            Frame::Done(_) => {
                self.finish_ticket(number);
                let Some(request) = self.requests.remove(&number) else { return };
                if !urgent {
                    self.outcome.patient_finished += 1;
                    return;
                }
                self.outcome.urgent_finished += 1;
                let in_time = !request.first_late;
                self.outcome.urgent_in_time[request.arrival.team] += u64::from(in_time);
            }
        }
    }

    fn note_first_token(&mut self, number: u64, first: bool, way: Duration) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let took = micros(self.now.since(request.arrival.at) + way);
        if first && !Outcome::is_in_time(took) {
            request.first_late = true;
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
        self.carry_out(node, actions);
    }

    fn apply(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Ready(_) => self.set_workers(),
                Change::Notice(key) => self.later(self.now + NOTICE_SPREAD, Late::Act(key)),
                Change::Drain(key) => self.close(key),
                Change::Gone(key) => self.gone(key),
            }
        }
    }

    fn set_workers(&mut self) {
        for node in 0..self.schedulers.len() {
            let mut views = Vec::new();
            for machine in self.cluster.machines.values() {
                if self.now < machine.ready_at {
                    continue;
                }
                views.push(WorkerView {
                    key: machine.key,
                    identity: xxh3_64(machine.vm.as_str().as_bytes()),
                    open: !machine.leaving,
                    network_latency: self.distance(node, machine.key),
                    slots: 24,
                    price: self.cluster.price(machine),
                    reclaimable: machine.gone_at.is_none(),
                    reclaims_per_hour: 0.5,
                    ..WorkerView::default()
                });
            }
            let actions = self.schedulers[node].set_workers(self.now, views, &mut self.random);
            self.carry_out(node, actions);
        }
    }

    fn close(&mut self, key: WorkerKey) {
        for node in 0..self.schedulers.len() {
            let actions = self.schedulers[node].close(self.now, key, &mut self.random);
            self.carry_out(node, actions);
        }
    }

    // The nodes have learnt that an engine will be taken back.
    fn act_on_notice(&mut self, key: WorkerKey) {
        self.close(key);
        if self.setup.recovery != Recovery::Move {
            return;
        }
        let Some(machine) = self.cluster.machines.get(key) else { return };
        let step = Duration::from_micros(machine.load().step_micros.into());
        let on_it = self.requests.iter().filter(|(_, request)| request.on == Some(key));
        let running: Vec<RunningRequest<u64>> = on_it
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
        let left = NOTICE.saturating_sub(NOTICE_SPREAD);
        for (number, fate) in plan_moves(left, &running, &options) {
            let MoveDecision::Move(span) = fate else { continue };
            self.finish_ticket(number);
            if let Some(request) = self.requests.get_mut(&number) {
                request.attempt += 1;
                request.moved_at = Some(self.now + span);
            }
            self.submit(number, &[key]);
        }
    }

    fn gone(&mut self, key: WorkerKey) {
        self.cluster.remove(self.now, key, &mut self.outcome);
        let on_it = self.requests.iter().filter(|(_, request)| request.on == Some(key));
        let on_it: Vec<u64> = on_it.map(|(number, _)| *number).collect();
        for number in on_it {
            self.resume(number, key);
        }
        self.set_workers();
    }

    fn resume(&mut self, number: u64, from: WorkerKey) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.on = None;
        // One whose move was under way already waits for its new place.
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
        let leaving = self.cluster.machines.values().filter(|one| one.leaving);
        let keys: Vec<WorkerKey> =
            leaving.filter(|one| one.gone_at.is_none()).map(|one| one.key).collect();
        for key in keys {
            if self.requests.values().any(|request| request.on == Some(key)) {
                continue;
            }
            self.gone(key);
        }
    }

    fn report(&mut self) {
        let mut told = Vec::new();
        for machine in self.cluster.machines.values_mut() {
            let load = machine.load();
            let report = LoadReport {
                running: load.running,
                waiting: load.waiting,
                backlog: load.prefill_backlog,
                step: Duration::from_micros(load.step_micros.into()),
                taken_at: self.now,
            };
            told.push((REPORT_LAG, Late::Report(machine.key, report)));
            for (block, held) in machine.engine.take_cache_changes() {
                if !self.random.random_bool(EVENT_LOSS) {
                    told.push((EVENT_LAG, Late::Cache(machine.key, block, held)));
                }
            }
        }
        for (lag, late) in told {
            self.later(self.now + lag, late);
        }
    }

    fn later(&mut self, at: Stamp, late: Late) {
        self.next_late += 1;
        self.late.insert((at, self.next_late), late);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.late.first_entry() {
            if self.now < entry.key().0 {
                return;
            }
            match entry.remove() {
                Late::Report(key, report) => {
                    for node in 0..self.schedulers.len() {
                        let scheduler = &mut self.schedulers[node];
                        let actions = scheduler.report(self.now, key, report, &mut self.random);
                        self.carry_out(node, actions);
                    }
                }
                Late::Cache(key, block, held) => {
                    for scheduler in &mut self.schedulers {
                        scheduler.note_cache(key, block, held);
                    }
                }
                Late::Act(key) => self.act_on_notice(key),
                Late::Arrive { request, to } => self.reach_engine(request, to),
            }
        }
    }

    fn distance(&self, node: usize, to: WorkerKey) -> Duration {
        let zone = self.cluster.machines.get(to).map_or(0, |machine| machine.zone);
        if node % self.spec.zones.len() == zone { Duration::ZERO } else { self.spec.distance }
    }
}

fn id_of(number: u64) -> RequestId {
    RequestId { origin: Incarnation(1), sequence: number }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
