//! A simulated cloud API with prices, purchases, refusals and reclaim notices.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bulrushhall_core::{VmName, ZoneName};
use bulrushhall_external::{
    BoxFuture,
    cloud::{Market, Notice, Offer, Purchase},
    http::{Body, Handler},
};
use hyper::{Request, Response, StatusCode, body::Incoming};
use tokio::{sync::mpsc, time::Instant};

use crate::{reply, running_server::RunningServer, switches::Switches};

/// A `MachineEvent` reports a purchased or removed VM to the code that runs the VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MachineEvent {
    /// A VM was purchased and must be started.
    Start(VmName, Purchase),
    /// A VM was removed, because it was released or reclaimed.
    Removed(VmName),
}

/// A `CloudServer` is a simulated cloud API on a loopback port.
pub struct CloudServer {
    shared: Arc<Shared>,
    running: RunningServer,
}

struct Shared {
    state: Mutex<State>,
    events: mpsc::UnboundedSender<MachineEvent>,
    switches: Switches,
}

struct State {
    offers: Vec<Offer>,
    refused: BTreeSet<(ZoneName, Market)>,
    vms: BTreeMap<VmName, Machine>,
    vms_by_token: BTreeMap<String, VmName>,
    spent_micros: u128,
    last_vm_number: u64,
}

struct Machine {
    zone: ZoneName,
    market: Market,
    price: u64,
    started_at: Instant,
    reclaimed_at: Option<Instant>,
}

impl CloudServer {
    /// Starts the cloud API on a free loopback port; the receiver yields its VM events.
    pub async fn start(
        offers: Vec<Offer>,
    ) -> io::Result<(CloudServer, mpsc::UnboundedReceiver<MachineEvent>)> {
        let (events, receiver) = mpsc::unbounded_channel();
        let state = State {
            offers,
            refused: BTreeSet::new(),
            vms: BTreeMap::new(),
            vms_by_token: BTreeMap::new(),
            spent_micros: 0,
            last_vm_number: 0,
        };
        let state = Mutex::new(state);
        let shared = Arc::new(Shared { state, events, switches: Switches::new(2) });
        let running = RunningServer::start(Arc::clone(&shared) as Arc<dyn Handler>).await?;
        Ok((CloudServer { shared, running }, receiver))
    }

    /// Returns the address that the cloud API listens on.
    pub fn address(&self) -> SocketAddr {
        self.running.address()
    }

    /// Returns the fault switches.
    pub fn switches(&self) -> &Switches {
        &self.shared.switches
    }

    /// Registers a VM that already runs without having been purchased.
    pub fn register(&self, vm: VmName, zone: ZoneName, market: Market, price: u64) {
        let machine =
            Machine { zone, market, price, started_at: Instant::now(), reclaimed_at: None };
        self.shared.lock().vms.insert(vm, machine);
    }

    /// Sets the zones and markets in which purchases are refused.
    pub fn set_refusals(&self, refused: BTreeSet<(ZoneName, Market)>) {
        self.shared.lock().refused = refused;
    }

    /// Sets the offers and their prices.
    pub fn set_offers(&self, offers: Vec<Offer>) {
        self.shared.lock().offers = offers;
    }

    /// Announces that a VM is reclaimed; it is removed after `notice`.
    pub fn reclaim(&self, vm: &VmName, notice: Duration) {
        self.shared.reclaim(vm, notice);
    }

    /// Announces that all reclaimable VMs of a zone are reclaimed; returns their names.
    pub fn reclaim_zone(&self, zone: &ZoneName, notice: Duration) -> Vec<VmName> {
        let state = self.shared.lock();
        let affected = state
            .vms
            .iter()
            .filter(|(_, machine)| machine.zone == *zone && machine.market == Market::Reclaimable);
        let affected: Vec<VmName> = affected.map(|(vm, _)| vm.clone()).collect();
        drop(state);
        for vm in &affected {
            self.shared.reclaim(vm, notice);
        }
        affected
    }

    /// Returns the running VMs.
    pub fn running_vms(&self) -> Vec<VmName> {
        self.shared.lock().vms.keys().cloned().collect()
    }

    /// Returns the cost of all VMs so far, in thousandths of a cent.
    pub fn spent(&self) -> f64 {
        let state = self.shared.lock();
        let running_cost = state.vms.values().map(Machine::cost_micros).sum::<u128>();
        (state.spent_micros + running_cost) as f64 / 1e6
    }
}

impl Machine {
    // Returns the cost in millionths of a thousandth of a cent, an integer, so that sums are exact.
    fn cost_micros(&self) -> u128 {
        u128::from(self.price) * self.started_at.elapsed().as_micros() / 3_600
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn reclaim(self: &Arc<Self>, vm: &VmName, notice: Duration) {
        let mut state = self.lock();
        let Some(machine) = state.vms.get_mut(vm) else { return };
        let at = Instant::now() + notice;
        machine.reclaimed_at = Some(at);
        let (shared, vm) = (Arc::clone(self), vm.clone());
        tokio::spawn(async move {
            tokio::time::sleep_until(at).await;
            shared.remove_vm(&vm);
        });
    }

    fn remove_vm(&self, vm: &VmName) -> bool {
        let mut state = self.lock();
        let Some(machine) = state.vms.remove(vm) else { return false };
        state.spent_micros += machine.cost_micros();
        let _ = self.events.send(MachineEvent::Removed(vm.clone()));
        true
    }

    fn buy(&self, purchase: Purchase) -> Response<Body> {
        let mut state = self.lock();
        if let Some(vm) = state.vms_by_token.get(&purchase.token) {
            return reply::json(vm);
        }
        let offer = state.offers.iter().find(|offer| {
            offer.zone == purchase.zone
                && offer.class == purchase.class
                && offer.market == purchase.market
        });
        let Some(price) = offer.map(|offer| offer.price) else {
            return reply::status(StatusCode::NOT_FOUND);
        };
        if state.refused.contains(&(purchase.zone.clone(), purchase.market)) {
            return reply::status(StatusCode::CONFLICT);
        }
        state.last_vm_number += 1;
        let Ok(vm) = VmName::new(format!("vm-{}-{}", purchase.zone, state.last_vm_number)) else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        let machine = Machine {
            zone: purchase.zone.clone(),
            market: purchase.market,
            price,
            started_at: Instant::now(),
            reclaimed_at: None,
        };
        state.vms.insert(vm.clone(), machine);
        state.vms_by_token.insert(purchase.token.clone(), vm.clone());
        let _ = self.events.send(MachineEvent::Start(vm.clone(), purchase));
        reply::json(&vm)
    }

    fn notices(&self) -> Vec<Notice> {
        let state = self.lock();
        let mut notices = Vec::new();
        for (vm, machine) in &state.vms {
            let Some(at) = machine.reclaimed_at else { continue };
            let remaining = at.saturating_duration_since(Instant::now()).as_millis();
            let left_ms = u64::try_from(remaining).unwrap_or(u64::MAX);
            notices.push(Notice { vm: vm.clone(), left_ms });
        }
        notices
    }

    async fn respond(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        if self.switches.delay_call().await.outage {
            return reply::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let path = req.uri().path().to_owned();
        let Ok(body) = reply::read(req.into_body()).await else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        let response = match path.as_str() {
            "/offers" => reply::json(&self.lock().offers),
            "/notices" => reply::json(&self.notices()),
            "/buy" => match serde_json::from_slice(&body) {
                Ok(purchase) => self.buy(purchase),
                Err(_) => reply::status(StatusCode::BAD_REQUEST),
            },
            "/release" => match serde_json::from_slice(&body) {
                Ok(vm) if self.remove_vm(&vm) => reply::json(&()),
                Ok(_) => reply::status(StatusCode::NOT_FOUND),
                Err(_) => reply::status(StatusCode::BAD_REQUEST),
            },
            _ => reply::status(StatusCode::NOT_FOUND),
        };
        if self.switches.should_lose_reply() {
            return reply::status(StatusCode::GATEWAY_TIMEOUT);
        }
        response
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(self.respond(req))
    }
}
