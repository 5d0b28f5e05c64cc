//! The actor that feeds admission and placement and carries out what they decide.

use std::{collections::HashMap, time::Duration};

use bulrushhall_core::ServiceName;
use bulrushhall_policy::{
    Admission, AdmissionOptions, Decision, Placement, PlacementRequest, Ticket, Wait, WorkerKey,
    WorkerView, placement::LeastOutstanding,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::oneshot;
use xtra::{Actor, Context, Handler, Mailbox};

use crate::clock::Clock;

/// A `Dispatcher` holds the queues and the view of the engines of one node.
pub struct Dispatcher {
    clock: Clock,
    random: Pcg64Mcg,
    answers_per_engine: usize,
    services: HashMap<ServiceName, Lane>,
}

struct Lane {
    admission: Admission,
    placement: Box<dyn Placement>,
    workers: Vec<WorkerView>,
    waiting: HashMap<Ticket, Waiting>,
}

struct Waiting {
    req: PlacementRequest,
    accepted: Option<oneshot::Sender<Verdict>>,
    start: oneshot::Sender<Start>,
}

/// A `Verdict` tells whether a request is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is accepted under this ticket.
    Accepted(Ticket),
    /// The request is refused; the caller may come back after the given time.
    Refused(Duration),
}

/// A `Start` tells an accepted request where to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Run on this engine.
    On(WorkerKey),
    /// No engine takes work now; ask again soon.
    Nowhere,
    /// The deadline has passed.
    Expired,
}

/// A `Submit` asks for a request to be queued and placed.
pub struct Submit {
    /// The service.
    pub service: ServiceName,
    /// What admission needs to know.
    pub wait: Wait,
    /// What placement needs to know.
    pub req: PlacementRequest,
    /// Gets the verdict.
    pub accepted: oneshot::Sender<Verdict>,
    /// Gets the place once there is one.
    pub start: oneshot::Sender<Start>,
}

/// A `Finished` tells that a started request no longer runs.
pub struct Finished {
    /// The service.
    pub service: ServiceName,
    /// The request's ticket.
    pub ticket: Ticket,
    /// The engine that it ran on, if any.
    pub worker: Option<WorkerKey>,
}

/// A `SetWorkers` tells which engines a service has.
pub struct SetWorkers {
    /// The service.
    pub service: ServiceName,
    /// Its engines.
    pub workers: Vec<WorkerView>,
}

/// A `Tick` lets time pass.
pub struct Tick;

impl Dispatcher {
    /// Returns a dispatcher without engines.
    pub fn new(clock: Clock, seed: u64, answers_per_engine: usize) -> Dispatcher {
        let random = Pcg64Mcg::seed_from_u64(seed);
        Dispatcher { clock, random, answers_per_engine, services: HashMap::new() }
    }

    fn lane(&mut self, service: &ServiceName) -> &mut Lane {
        self.services.entry(service.clone()).or_insert_with(|| Lane {
            admission: Admission::new(AdmissionOptions::default()),
            placement: Box::new(LeastOutstanding),
            workers: Vec::new(),
            waiting: HashMap::new(),
        })
    }

    fn carry_out(&mut self, service: &ServiceName, decisions: Vec<Decision>) {
        let now = self.clock.now();
        let Some(lane) = self.services.get_mut(service) else { return };
        for decision in decisions {
            match decision {
                Decision::Accept(ticket) => {
                    let waiting = lane.waiting.get_mut(&ticket);
                    let tx = waiting.and_then(|waiting| waiting.accepted.take());
                    let Some(tx) = tx else { continue };
                    let _ = tx.send(Verdict::Accepted(ticket));
                }
                Decision::Refuse(ticket, after) => {
                    let waiting = lane.waiting.remove(&ticket);
                    let Some(tx) = waiting.and_then(|waiting| waiting.accepted) else { continue };
                    let _ = tx.send(Verdict::Refused(after));
                }
                Decision::Start(ticket) => {
                    let Some(waiting) = lane.waiting.remove(&ticket) else { continue };
                    let Lane { placement, workers, .. } = lane;
                    let key = placement.place(now, &waiting.req, workers, &mut self.random);
                    let Some(key) = key else {
                        let _ = waiting.start.send(Start::Nowhere);
                        continue;
                    };
                    for worker in workers.iter_mut().filter(|worker| worker.key == key) {
                        worker.outstanding += 1;
                    }
                    let _ = waiting.start.send(Start::On(key));
                }
                Decision::Expire(ticket) => {
                    let Some(waiting) = lane.waiting.remove(&ticket) else { continue };
                    let _ = waiting.start.send(Start::Expired);
                }
            }
        }
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
        let lane = self.lane(&submit.service);
        let (ticket, decisions) = lane.admission.arrive(now, submit.wait);
        let waiting =
            Waiting { req: submit.req, accepted: Some(submit.accepted), start: submit.start };
        lane.waiting.insert(ticket, waiting);
        self.carry_out(&submit.service, decisions);
    }
}

impl Handler<Finished> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, finished: Finished, _cx: &mut Context<Self>) {
        let now = self.clock.now();
        let lane = self.lane(&finished.service);
        for worker in &mut lane.workers {
            if Some(worker.key) == finished.worker {
                worker.outstanding = worker.outstanding.saturating_sub(1);
            }
        }
        let decisions = lane.admission.finish(now, finished.ticket);
        self.carry_out(&finished.service, decisions);
    }
}

impl Handler<SetWorkers> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, set: SetWorkers, _cx: &mut Context<Self>) {
        let capacity = set.workers.len() * self.answers_per_engine;
        let lane = self.lane(&set.service);
        let before = std::mem::take(&mut lane.workers);
        lane.workers = set.workers;
        for worker in &mut lane.workers {
            let known = before.iter().find(|known| known.key == worker.key);
            worker.outstanding = known.map_or(0, |known| known.outstanding);
        }
        let decisions = lane.admission.set_capacity(capacity);
        self.carry_out(&set.service, decisions);
    }
}

impl Handler<Tick> for Dispatcher {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, _cx: &mut Context<Self>) {
        let now = self.clock.now();
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        for service in services {
            let decisions = self.lane(&service).admission.tick(now);
            self.carry_out(&service, decisions);
        }
    }
}
