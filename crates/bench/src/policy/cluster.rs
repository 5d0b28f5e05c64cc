//! The VMs of a run: bought by the planner, taken back by the scenario.

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

/// The price of an hour on demand, in thousandths of a cent.
const ON_DEMAND_PRICE: u64 = 400_000;
/// The prices of an hour of a reclaimable VM, zone by zone.
const RECLAIMABLE_PRICES: [u64; 4] = [100_000, 115_000, 130_000, 145_000];
/// How long a VM takes to start.
const START: Duration = Duration::from_secs(10);
/// How long the weight store takes for one load; it serves one after the other.
const LOAD: Duration = Duration::from_secs(4);
/// How long before a reclaim its notice comes.
pub(crate) const NOTICE: Duration = Duration::from_secs(5);
/// How long a reclaimed zone refuses purchases.
const ZONE_REFUSES: Duration = Duration::from_secs(30);
/// How many times slower a slow engine is.
const SLOWER: u64 = 4;

/// A `Machine` is one VM with its engine.
pub struct Machine {
    /// The key under which nodes know it.
    pub key: WorkerKey,
    /// Its name.
    pub vm: VmName,
    /// The number of its zone.
    pub zone: usize,
    /// What it is sold as.
    pub market: FleetMarket,
    /// Its engine.
    pub engine: EngineModel,
    /// When its engine serves.
    pub ready_at: Stamp,
    /// When it is gone, once that is known.
    pub gone_at: Option<Stamp>,
    /// Whether it takes no new work.
    pub leaving: bool,
    serves: bool,
    slow_since: Option<Stamp>,
}

/// A `Change` is something that happened to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It serves from now on.
    Ready(WorkerKey),
    /// It is taken back after the notice.
    Notice(WorkerKey),
    /// It is to take no new work.
    Drain(WorkerKey),
    /// It is gone.
    Gone(WorkerKey),
}

/// A `Cluster` is the VMs of a run and the planner that buys them.
pub struct Cluster {
    /// The machines.
    pub machines: SlotMap<WorkerKey, Machine>,
    zones: [&'static str; 4],
    service: ServiceName,
    prices: [u64; 4],
    planner: Option<FleetPlanner>,
    refuses_until: [Stamp; 4],
    refuses_all: bool,
    key_value_down: bool,
    store_free_at: Stamp,
    counted_until: Stamp,
    next_vm: u64,
}

impl Machine {
    /// Takes a request in.
    pub fn submit(&mut self, now: Stamp, generate: Generate) {
        let now = self.local(now);
        self.engine.submit(now, generate);
    }

    /// Returns the frames that the engine has written by now.
    pub fn advance(&mut self, now: Stamp) -> Vec<Output> {
        if self.engine.next_wake().is_none_or(|wake| self.local(now) < wake) {
            return Vec::new();
        }
        let now = self.local(now);
        self.engine.advance(now)
    }

    /// Returns the load as the engine reports it.
    pub fn load(&self) -> EngineLoad {
        let mut load = self.engine.load();
        if self.slow_since.is_some() {
            load.step_micros *= u32::try_from(SLOWER).unwrap_or(1);
        }
        load
    }

    /// Returns the KV blocks of a request.
    pub fn export(&self, request: RequestId) -> Vec<u64> {
        self.engine.export(request)
    }

    // A slow engine lives in a time that passes more slowly.
    fn local(&self, now: Stamp) -> Stamp {
        match self.slow_since {
            Some(since) => Stamp(since.0 + now.0.saturating_sub(since.0) / SLOWER),
            None => now,
        }
    }
}

impl Cluster {
    /// Returns a cluster whose first machines serve at once.
    pub fn new(spec: &DeploymentSpec, setup: &Setup) -> Cluster {
        let service = name::<ServiceName>("model-pool");
        let planner = FleetPlanner::new(FleetOptions::default(), FleetPlan::default());
        let planned = setup.fleet == Fleet::Planned;
        let mut cluster = Cluster {
            machines: SlotMap::with_key(),
            zones: spec.zones,
            service: service.clone(),
            prices: RECLAIMABLE_PRICES,
            planner: planned.then_some(planner),
            refuses_until: [Stamp(0); 4],
            refuses_all: false,
            key_value_down: false,
            store_free_at: Stamp(0),
            counted_until: Stamp(0),
            next_vm: 0,
        };
        let now = Stamp(0);
        if let Some(planner) = &mut cluster.planner {
            planner.handle(now, FleetEvent::Need(service, spec.needed));
            cluster.plan(now, &mut Outcome::default());
        } else {
            for at in 0..spec.needed {
                let zone = at as usize % spec.zones.len();
                cluster.start(now, zone, FleetMarket::OnDemand);
            }
        }
        for machine in cluster.machines.values_mut() {
            machine.ready_at = now;
        }
        cluster.store_free_at = now;
        cluster
    }

    /// Lets a fault happen.
    pub fn strike(&mut self, now: Stamp, fault: Fault) -> Vec<Change> {
        let mut out = Vec::new();
        match fault {
            Fault::Reclaim(zone) => {
                self.refuses_until[zone] = now + ZONE_REFUSES;
                for machine in self.machines.values_mut() {
                    let hit = machine.zone == zone && machine.market == FleetMarket::Reclaimable;
                    if hit && machine.gone_at.is_none() {
                        machine.gone_at = Some(now + NOTICE);
                        machine.leaving = true;
                        out.push(Change::Notice(machine.key));
                    }
                }
            }
            Fault::Refuse => self.refuses_all = true,
            Fault::Sell => self.refuses_all = false,
            Fault::KeyValueDown => self.key_value_down = true,
            Fault::KeyValueUp => self.key_value_down = false,
            Fault::SwapPrices => self.prices.reverse(),
            Fault::Slow => {
                if let Some(machine) = self.machines.values_mut().next() {
                    machine.slow_since = Some(now);
                }
            }
        }
        out
    }

    /// Returns what has happened to the machines since the last call.
    pub fn changes(&mut self, now: Stamp) -> Vec<Change> {
        let mut out = Vec::new();
        for machine in self.machines.values_mut() {
            if !machine.serves && machine.ready_at <= now {
                machine.serves = true;
                out.push(Change::Ready(machine.key));
            }
            if machine.gone_at.is_some_and(|at| at <= now) {
                out.push(Change::Gone(machine.key));
            }
        }
        out
    }

    /// Counts costs and lets the planner act.
    pub fn plan(&mut self, now: Stamp, outcome: &mut Outcome) -> Vec<Change> {
        self.count(now, outcome);
        let offers = self.offers();
        let mut out = Vec::new();
        let Some(mut planner) = self.planner.take() else { return out };
        planner.handle(now, FleetEvent::Offers(offers));
        for machine in self.machines.values() {
            if machine.serves {
                planner.handle(now, FleetEvent::Ready(machine.vm.clone()));
            }
            if machine.gone_at.is_some() {
                planner.handle(now, FleetEvent::Leaving(machine.vm.clone()));
            }
        }
        // Without a saved plan nothing is bought: two holders could otherwise buy twice.
        if !self.key_value_down {
            for action in planner.handle(now, FleetEvent::Tick) {
                match action {
                    FleetAction::Buy(slot) => self.buy(now, &mut planner, slot, outcome),
                    FleetAction::Drain(vm) => out.extend(self.drain(&vm)),
                    FleetAction::Save(_) | FleetAction::ReleaseOrphan(_) => {}
                }
            }
        }
        self.planner = Some(planner);
        out
    }

    /// Removes a machine that is gone or empty.
    pub fn remove(&mut self, now: Stamp, key: WorkerKey, outcome: &mut Outcome) -> Option<Machine> {
        self.count(now, outcome);
        let machine = self.machines.remove(key)?;
        if let Some(planner) = &mut self.planner {
            planner.handle(now, FleetEvent::Removed(machine.vm.clone()));
        }
        outcome.recomputed += machine.engine.totals().1;
        outcome.computed += machine.engine.totals().0;
        Some(machine)
    }

    /// Returns the price of an hour of a machine.
    pub fn price(&self, machine: &Machine) -> u64 {
        match machine.market {
            FleetMarket::OnDemand => ON_DEMAND_PRICE,
            FleetMarket::Reclaimable => self.prices[machine.zone],
        }
    }

    fn count(&mut self, now: Stamp, outcome: &mut Outcome) {
        let hours = now.since(self.counted_until).as_secs_f64() / 3_600.0;
        self.counted_until = now;
        for machine in self.machines.values() {
            outcome.cost += self.price(machine) as f64 * hours;
            if machine.market == FleetMarket::OnDemand {
                outcome.on_demand_hours += hours;
            }
        }
    }

    fn offers(&self) -> Vec<FleetOffer> {
        let mut offers = Vec::new();
        for (at, zone) in self.zones.iter().enumerate() {
            let zone = name::<ZoneName>(zone);
            for (market, price) in [
                (FleetMarket::Reclaimable, self.prices[at]),
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
        self.store_free_at = self.store_free_at.max(now + START) + LOAD;
        let ready_at = self.store_free_at;
        let name = vm.clone();
        self.machines.insert_with_key(|key| Machine {
            key,
            vm: name,
            zone,
            market,
            engine: EngineModel::new(DeploymentSpec::engine()),
            ready_at,
            gone_at: None,
            leaving: false,
            serves: false,
            slow_since: None,
        });
        vm
    }

    fn drain(&mut self, vm: &VmName) -> Option<Change> {
        let machine = self.machines.values_mut().find(|machine| machine.vm == *vm)?;
        machine.leaving = true;
        Some(Change::Drain(machine.key))
    }

    /// Returns the service.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }
}

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| unreachable!("a valid name"))
}
