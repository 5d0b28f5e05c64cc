//! The actor that runs admission and placement and executes their decisions.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bulrushhall_core::{ServiceName, Stamp, TeamName, config::Weights};
use bulrushhall_policy::{
    AdmissionRequest, LoadReport, PlacementOptions, PlacementRequest, Scheduler, SchedulerAction,
    SchedulerOptions, Ticket, WorkerKey, WorkerView,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use xtra::{Actor, Context, Handler, Mailbox};

use crate::clock::Clock;

/// A `Dispatcher` is the actor with one node's queues and its view of the engines.
pub struct Dispatcher {
    clock: Clock,
    random: Pcg64Mcg,
    nodes: usize,
    services: BTreeMap<ServiceName, Service>,
}

struct Service {
    scheduler: Scheduler,
    weights: Weights,
    waiting: HashMap<Ticket, Waiting>,
}

struct Waiting {
    accepted: Option<oneshot::Sender<Verdict>>,
    start: oneshot::Sender<Start>,
}

/// A `Verdict` is the admission decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is accepted under this ticket.
    Accepted(Ticket),
    /// The request is refused; the caller may retry after the given time.
    Refused(Duration),
}

/// A `Start` is the placement decision for an accepted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Run on this engine.
    On(WorkerKey),
    /// No engine accepts work now; submit again after a pause.
    NoWorker,
    /// The deadline has passed.
    Expired,
}

/// A `Submit` is the message that queues and places a request.
pub struct Submit {
    /// The service.
    pub service: ServiceName,
    /// The input of admission.
    pub admission: AdmissionRequest,
    /// The input of placement.
    pub req: PlacementRequest,
    /// Receives the admission decision.
    pub accepted: oneshot::Sender<Verdict>,
    /// Receives the placement decision once there is one.
    pub start: oneshot::Sender<Start>,
}

/// A `Finished` is the message that a started request has ended.
pub struct Finished {
    /// The service.
    pub service: ServiceName,
    /// The request's ticket.
    pub ticket: Ticket,
    /// The engine that it ran on, if any.
    pub worker: Option<WorkerKey>,
}

/// A `FirstToken` is the message that a started request has received its first token.
pub struct FirstToken {
    /// The service.
    pub service: ServiceName,
    /// The request's ticket.
    pub ticket: Ticket,
}

/// A `SetWorkers` is the message that sets a service's engines and the teams' shares of them.
pub struct SetWorkers {
    /// The service.
    pub service: ServiceName,
    /// Its engines.
    pub workers: Vec<WorkerView>,
    /// The shares of the teams.
    pub shares: BTreeMap<TeamName, u32>,
    /// The weights of the placement cost.
    pub weights: Weights,
}

/// A `SetNodes` is the message that sets how many nodes, this one included, send work to the engines.
pub struct SetNodes(pub usize);

/// A `Report` is the message with an engine's load report.
pub struct Report {
    /// The service.
    pub service: ServiceName,
    /// The engine.
    pub key: WorkerKey,
    /// The load report.
    pub report: LoadReport,
}

/// `CacheChanges` are the blocks that an engine's prefix cache has added or evicted.
pub struct CacheChanges {
    /// The service.
    pub service: ServiceName,
    /// The engine.
    pub key: WorkerKey,
    /// Each block and whether it is now cached.
    pub changes: Vec<(u64, bool)>,
}

/// A `Close` is the message that an engine's VM is leaving and gets no new work.
pub struct Close {
    /// The service.
    pub service: ServiceName,
    /// The engine.
    pub key: WorkerKey,
}

/// A `Queues` is the query for the queue depths of all services.
pub struct Queues;

/// A `QueueDepth` is the number of a service's requests that wait and run at one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueDepth {
    /// The service.
    pub service: ServiceName,
    /// The number of requests that wait for an engine.
    pub waiting: usize,
    /// The number of requests that run.
    pub running: usize,
}

/// A `Tick` is the message that runs the schedulers' timers.
pub struct Tick;

impl Dispatcher {
    /// Returns a dispatcher without engines.
    pub fn new(clock: Clock, seed: u64) -> Dispatcher {
        let random = Pcg64Mcg::seed_from_u64(seed);
        Dispatcher { clock, random, nodes: 1, services: BTreeMap::new() }
    }

    fn service(&mut self, name: &ServiceName) -> &mut Service {
        let nodes = self.nodes;
        self.services.entry(name.clone()).or_insert_with(|| {
            let weights = Weights::default();
            Service { scheduler: new_scheduler(&weights, nodes), weights, waiting: HashMap::new() }
        })
    }

    fn carry_out(&mut self, service: &ServiceName, actions: Vec<SchedulerAction>) {
        let Some(service) = self.services.get_mut(service) else { return };
        for action in actions {
            match action {
                SchedulerAction::Accept(ticket) => {
                    let waiting = service.waiting.get_mut(&ticket);
                    let tx = waiting.and_then(|waiting| waiting.accepted.take());
                    let Some(tx) = tx else { continue };
                    let _ = tx.send(Verdict::Accepted(ticket));
                }
                SchedulerAction::Refuse(ticket, after) => {
                    let waiting = service.waiting.remove(&ticket);
                    let Some(tx) = waiting.and_then(|waiting| waiting.accepted) else { continue };
                    let _ = tx.send(Verdict::Refused(after));
                }
                SchedulerAction::Start(ticket, key) => service.start(ticket, Start::On(key)),
                SchedulerAction::NoWorker(ticket) => service.start(ticket, Start::NoWorker),
                SchedulerAction::Expire(ticket) => service.start(ticket, Start::Expired),
            }
        }
    }
}

impl Service {
    fn start(&mut self, ticket: Ticket, start: Start) {
        let Some(waiting) = self.waiting.remove(&ticket) else { return };
        let _ = waiting.start.send(start);
    }
}

impl Actor for Dispatcher {
    type Stop = ();

    async fn started(&mut self, _mailbox: &Mailbox<Self>) -> Result<(), Self::Stop> {
        Ok(())
    }

    async fn stopped(self) -> Self::Stop {}
}

impl Handler<Submit> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, submit: Submit, _cx: &mut Context<Self>) {
        let now = self.clock.now();
        let mut random = self.random.clone();
        let service = self.service(&submit.service);
        let (ticket, actions) =
            service.scheduler.submit(now, submit.admission, submit.req, &mut random);
        let waiting = Waiting { accepted: Some(submit.accepted), start: submit.start };
        service.waiting.insert(ticket, waiting);
        self.random = random;
        self.carry_out(&submit.service, actions);
    }
}

impl Handler<Finished> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, finished: Finished, _cx: &mut Context<Self>) {
        self.step(&finished.service, |scheduler, now, random| {
            scheduler.finished(now, finished.ticket, random)
        });
    }
}

impl Handler<FirstToken> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, first: FirstToken, _cx: &mut Context<Self>) {
        let now = self.clock.now();
        self.service(&first.service).scheduler.first_token(now, first.ticket);
    }
}

impl Handler<SetWorkers> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, set: SetWorkers, _cx: &mut Context<Self>) {
        let nodes = self.nodes;
        let service = self.service(&set.service);
        // The scheduler holds the waiting and running requests, so it can only be replaced by one with
        // other weights while it is idle.
        if service.weights != set.weights && service.scheduler.is_idle() {
            service.scheduler = new_scheduler(&set.weights, nodes);
            service.weights = set.weights;
        }
        service.scheduler.set_shares(set.shares);
        self.step(&set.service, |scheduler, now, random| {
            scheduler.set_workers(now, set.workers, random)
        });
    }
}

impl Handler<SetNodes> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, set: SetNodes, _cx: &mut Context<Self>) {
        self.nodes = set.0;
        for service in self.services.values_mut() {
            service.scheduler.set_nodes(set.0);
        }
    }
}

impl Handler<Report> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: Report, _cx: &mut Context<Self>) {
        self.step(&msg.service, |scheduler, now, random| {
            scheduler.report(now, msg.key, msg.report, random)
        });
    }
}

impl Handler<CacheChanges> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, msg: CacheChanges, _cx: &mut Context<Self>) {
        let scheduler = &mut self.service(&msg.service).scheduler;
        for (block, held) in msg.changes {
            scheduler.note_cache(msg.key, block, held);
        }
    }
}

impl Handler<Close> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, close: Close, _cx: &mut Context<Self>) {
        self.step(&close.service, |scheduler, now, random| scheduler.close(now, close.key, random));
    }
}

impl Handler<Queues> for Dispatcher {
    type Return = Vec<QueueDepth>;

    async fn handle(&mut self, _queues: Queues, _cx: &mut Context<Self>) -> Vec<QueueDepth> {
        let mut depths = Vec::new();
        for (service, state) in &self.services {
            let admission = state.scheduler.admission();
            let (waiting, running) = (admission.waiting(), admission.running());
            depths.push(QueueDepth { service: service.clone(), waiting, running });
        }
        depths
    }
}

impl Handler<Tick> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, _cx: &mut Context<Self>) {
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            self.step(&name, |scheduler, now, random| scheduler.tick(now, random));
        }
    }
}

impl Dispatcher {
    fn step(
        &mut self,
        name: &ServiceName,
        event: impl FnOnce(&mut Scheduler, Stamp, &mut Pcg64Mcg) -> Vec<SchedulerAction>,
    ) {
        let now = self.clock.now();
        let mut random = self.random.clone();
        let actions = event(&mut self.service(name).scheduler, now, &mut random);
        self.random = random;
        self.carry_out(name, actions);
    }
}

fn new_scheduler(weights: &Weights, nodes: usize) -> Scheduler {
    let placement = PlacementOptions {
        cost: weights.cost,
        recomputed: weights.recomputed,
        ..PlacementOptions::default()
    };
    Scheduler::new(SchedulerOptions { placement, nodes, ..SchedulerOptions::default() })
}
