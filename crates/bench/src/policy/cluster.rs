//! The VMs of a simulation: bought by the planner, reclaimed by the scenario.

use std::time::Duration;

use bulrushhall_core::{RequestId, ServiceName, Stamp, VmName, ZoneName};
use bulrushhall_external::engine::{EngineLoad, Generate};
use bulrushhall_policy::{
    FleetAction, FleetEvent, FleetOptions, FleetPlan, FleetPlanner, WorkerKey,
    fleet::{FleetMarket, FleetOffer, Place, Slot},
};
use bulrushhall_standin::engine::{EngineModel, Output};
use slotmap::SlotMap;

use crate::policy::{DeploymentSpec, Fault, Fleet, Outcome, Setup};

/// The hourly price of an on-demand VM, in thousandths of a cent.
const ON_DEMAND_PRICE: u64 = 400_000;
/// The hourly prices of a reclaimable VM in each zone, in thousandths of a cent.
const RECLAIMABLE_PRICES: [u64; 4] = [100_000, 115_000, 130_000, 145_000];
/// The time that a VM takes to start.
const BOOT_TIME: Duration = Duration::from_secs(10);
/// The time that the weight store takes to load one model; it serves one load at a time.
const WEIGHT_LOAD_TIME: Duration = Duration::from_secs(4);
/// The time from the notice of a reclaim to the reclaim.
pub(crate) const RECLAIM_NOTICE: Duration = Duration::from_secs(5);
/// The time for which a reclaimed zone refuses purchases of reclaimable VMs.
const ZONE_REFUSAL_TIME: Duration = Duration::from_secs(30);
/// The factor by which a slow engine is slower.
const SLOWDOWN: u64 = 4;

/// A `Worker` is one VM with its engine.
pub struct Worker {
    /// The key that the schedulers identify it by.
    pub key: WorkerKey,
    /// The name of its VM.
    pub vm: VmName,
    /// The index of its zone.
    pub zone: usize,
    /// The market that its VM was bought on.
    pub market: FleetMarket,
    /// Its engine.
    pub engine: EngineModel,
    /// When its engine starts to serve.
    pub ready_at: Stamp,
    /// When its VM is reclaimed, once the notice has been given.
    pub terminates_at: Option<Stamp>,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    serving: bool,
    slow_since: Option<Stamp>,
}

/// A `WorkerEvent` is a change of a worker's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// Its engine has started to serve.
    Ready(WorkerKey),
    /// Its VM will be reclaimed when the notice period ends.
    ReclaimNotice(WorkerKey),
    /// The planner drains it: it takes no new work.
    Drain(WorkerKey),
    /// Its VM was reclaimed.
    Terminated(WorkerKey),
}

/// A `Cluster` is the workers of a simulation and the planner that buys their VMs.
pub struct Cluster {
    /// The workers, those that do not serve yet included.
    pub workers: SlotMap<WorkerKey, Worker>,
    zones: [&'static str; 4],
    service: ServiceName,
    prices: [u64; 4],
    planner: Option<FleetPlanner>,
    refuses_until: [Stamp; 4],
    refuses_all: bool,
    key_value_down: bool,
    weight_store_free_at: Stamp,
    costs_accounted_until: Stamp,
    next_vm: u64,
}

impl Worker {
    /// Submits a request to the engine.
    pub fn submit(&mut self, now: Stamp, generate: Generate) {
        let now = self.engine_time(now);
        self.engine.submit(now, generate);
    }

    /// Returns the frames that the engine has written since the last call.
    pub fn advance(&mut self, now: Stamp) -> Vec<Output> {
        if self.engine.next_wake().is_none_or(|wake| self.engine_time(now) < wake) {
            return Vec::new();
        }
        let now = self.engine_time(now);
        self.engine.advance(now)
    }

    /// Returns the load as the engine reports it, with the longer steps of a slow engine.
    pub fn load(&self) -> EngineLoad {
        let mut load = self.engine.load();
        if self.slow_since.is_some() {
            load.step_micros *= u32::try_from(SLOWDOWN).unwrap_or(1);
        }
        load
    }

    /// Returns the KV blocks of a request.
    pub fn export(&self, request: RequestId) -> Vec<u64> {
        self.engine.export(request)
    }

    // A slow engine is modelled by a clock that runs more slowly from the fault on.
    fn engine_time(&self, now: Stamp) -> Stamp {
        match self.slow_since {
            Some(since) => Stamp(since.0 + now.0.saturating_sub(since.0) / SLOWDOWN),
            None => now,
        }
    }
}

impl Cluster {
    /// Returns a cluster whose initial workers serve at once.
    pub fn new(spec: &DeploymentSpec, setup: &Setup) -> Cluster {
        let service = name::<ServiceName>("model-pool");
        let planner = FleetPlanner::new(FleetOptions::default(), FleetPlan::default());
        let planned = setup.fleet == Fleet::Planned;
        let mut cluster = Cluster {
            workers: SlotMap::with_key(),
            zones: spec.zones,
            service: service.clone(),
            prices: RECLAIMABLE_PRICES,
            planner: planned.then_some(planner),
            refuses_until: [Stamp(0); 4],
            refuses_all: false,
            key_value_down: false,
            weight_store_free_at: Stamp(0),
            costs_accounted_until: Stamp(0),
            next_vm: 0,
        };
        let now = Stamp(0);
        if let Some(planner) = &mut cluster.planner {
            planner.handle(now, FleetEvent::Need(service, spec.needed));
            cluster.plan(now, &mut Outcome::default());
        } else {
            for index in 0..spec.needed {
                let zone = index as usize % spec.zones.len();
                cluster.start(now, zone, FleetMarket::OnDemand);
            }
        }
        for worker in cluster.workers.values_mut() {
            worker.ready_at = now;
        }
        cluster.weight_store_free_at = now;
        cluster
    }

    /// Injects a fault and returns the events that it causes.
    pub fn inject_fault(&mut self, now: Stamp, fault: Fault) -> Vec<WorkerEvent> {
        let mut events = Vec::new();
        match fault {
            Fault::Reclaim(zone) => {
                self.refuses_until[zone] = now + ZONE_REFUSAL_TIME;
                for worker in self.workers.values_mut() {
                    let reclaimed =
                        worker.zone == zone && worker.market == FleetMarket::Reclaimable;
                    if reclaimed && worker.terminates_at.is_none() {
                        worker.terminates_at = Some(now + RECLAIM_NOTICE);
                        worker.leaving = true;
                        events.push(WorkerEvent::ReclaimNotice(worker.key));
                    }
                }
            }
            Fault::RefusePurchases => self.refuses_all = true,
            Fault::AllowPurchases => self.refuses_all = false,
            Fault::KeyValueDown => self.key_value_down = true,
            Fault::KeyValueUp => self.key_value_down = false,
            Fault::SwapPrices => self.prices.reverse(),
            Fault::Slow => {
                if let Some(worker) = self.workers.values_mut().next() {
                    worker.slow_since = Some(now);
                }
            }
        }
        events
    }

    /// Returns the workers that have become ready since the last call and those whose VM has been
    /// reclaimed; the latter are returned until they are removed.
    pub fn take_events(&mut self, now: Stamp) -> Vec<WorkerEvent> {
        let mut events = Vec::new();
        for worker in self.workers.values_mut() {
            if !worker.serving && worker.ready_at <= now {
                worker.serving = true;
                events.push(WorkerEvent::Ready(worker.key));
            }
            if worker.terminates_at.is_some_and(|at| at <= now) {
                events.push(WorkerEvent::Terminated(worker.key));
            }
        }
        events
    }

    /// Accounts costs and executes the planner's actions.
    pub fn plan(&mut self, now: Stamp, outcome: &mut Outcome) -> Vec<WorkerEvent> {
        self.account_costs(now, outcome);
        let offers = self.offers();
        let mut events = Vec::new();
        let Some(mut planner) = self.planner.take() else { return events };
        planner.handle(now, FleetEvent::Offers(offers));
        for worker in self.workers.values() {
            if worker.serving {
                planner.handle(now, FleetEvent::Ready(worker.vm.clone()));
            }
            if worker.terminates_at.is_some() {
                planner.handle(now, FleetEvent::Leaving(worker.vm.clone()));
            }
        }
        // Nothing is bought unless the plan can be saved: without a saved plan, two nodes that
        // hold the duty one after the other could both buy the same VM.
        if !self.key_value_down {
            for action in planner.handle(now, FleetEvent::Tick) {
                match action {
                    FleetAction::Buy(slot) => self.buy(now, &mut planner, slot, outcome),
                    FleetAction::Drain(vm) => events.extend(self.drain(&vm)),
                    FleetAction::Save(_) | FleetAction::ReleaseOrphan(_) => {}
                }
            }
        }
        self.planner = Some(planner);
        events
    }

    /// Removes a worker that was reclaimed or has no requests left.
    pub fn remove(&mut self, now: Stamp, key: WorkerKey, outcome: &mut Outcome) -> Option<Worker> {
        self.account_costs(now, outcome);
        let worker = self.workers.remove(key)?;
        if let Some(planner) = &mut self.planner {
            planner.handle(now, FleetEvent::Removed(worker.vm.clone()));
        }
        outcome.recomputed += worker.engine.totals().1;
        outcome.computed += worker.engine.totals().0;
        Some(worker)
    }

    /// Returns the hourly price of a worker, in thousandths of a cent.
    pub fn price(&self, worker: &Worker) -> u64 {
        match worker.market {
            FleetMarket::OnDemand => ON_DEMAND_PRICE,
            FleetMarket::Reclaimable => self.prices[worker.zone],
        }
    }

    fn account_costs(&mut self, now: Stamp, outcome: &mut Outcome) {
        let hours = now.since(self.costs_accounted_until).as_secs_f64() / 3_600.0;
        self.costs_accounted_until = now;
        for worker in self.workers.values() {
            outcome.cost += self.price(worker) as f64 * hours;
            if worker.market == FleetMarket::OnDemand {
                outcome.on_demand_hours += hours;
            }
        }
    }

    fn offers(&self) -> Vec<FleetOffer> {
        let mut offers = Vec::new();
        for (index, zone) in self.zones.iter().enumerate() {
            let zone = name::<ZoneName>(zone);
            for (market, price) in [
                (FleetMarket::Reclaimable, self.prices[index]),
                (FleetMarket::OnDemand, ON_DEMAND_PRICE),
            ] {
                let place = Place { zone: zone.clone(), class: "one-engine".to_owned(), market };
                offers.push(FleetOffer { place, price });
            }
        }
        offers
    }

    fn buy(&mut self, now: Stamp, planner: &mut FleetPlanner, slot: Slot, outcome: &mut Outcome) {
        let zone = self.zones.iter().position(|zone| *zone == slot.place.zone.as_str());
        let Some(zone) = zone else { return };
        let reclaimable = slot.place.market == FleetMarket::Reclaimable;
        if reclaimable && (self.refuses_all || now < self.refuses_until[zone]) {
            planner.handle(now, FleetEvent::Refused(slot.id));
            return;
        }
        outcome.bought += 1;
        let vm = self.start(now, zone, slot.place.market);
        planner.handle(now, FleetEvent::Bought(slot.id, vm));
    }

    fn start(&mut self, now: Stamp, zone: usize, market: FleetMarket) -> VmName {
        self.next_vm += 1;
        let vm = name::<VmName>(&format!("vm-{}", self.next_vm));
        self.weight_store_free_at =
            self.weight_store_free_at.max(now + BOOT_TIME) + WEIGHT_LOAD_TIME;
        let ready_at = self.weight_store_free_at;
        let name = vm.clone();
        self.workers.insert_with_key(|key| Worker {
            key,
            vm: name,
            zone,
            market,
            engine: EngineModel::new(DeploymentSpec::engine()),
            ready_at,
            terminates_at: None,
            leaving: false,
            serving: false,
            slow_since: None,
        });
        vm
    }

    fn drain(&mut self, vm: &VmName) -> Option<WorkerEvent> {
        let worker = self.workers.values_mut().find(|worker| worker.vm == *vm)?;
        worker.leaving = true;
        Some(WorkerEvent::Drain(worker.key))
    }

    /// Returns the name of the service that the workers run.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }
}

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| unreachable!("a valid name"))
}
