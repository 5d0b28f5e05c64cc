//! The duty of buying and releasing VMs, held by one node at a time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use bulrushhall_coord::{LeaseOptions, Purpose, Source};
use bulrushhall_core::{
    Event, Ran, ServiceName, Stamp, VmName,
    config::{Deployment, EnginesConfig},
};
use bulrushhall_external::{
    CallFault, Cloud, KeyValue,
    clients::HttpCloud,
    cloud::{Market, Offer, Purchase},
    http::{Endpoint, EndpointOptions},
    kv::{CasOutcome, Version},
};
use bulrushhall_policy::{
    FleetAction, FleetEvent, FleetOptions, FleetPlan, FleetPlanner,
    fleet::{FleetMarket, FleetOffer, Place, Slot, SlotState},
};
use bytes::Bytes;
use tokio::time::sleep;

use crate::{
    backends::BackendClient,
    context::Context,
    duty::{Duty, DutyTask},
    notices,
};

/// The key under which the key-value service stores the fleet plan.
pub const PLAN_KEY: &str = "fleet/plan";
/// The name of the duty.
const DUTY: &str = "fleet";
/// The pause between two rounds of fleet management.
const PAUSE: Duration = Duration::from_secs(1);
/// The maximum time that an engine gets to finish its requests before its VM is released.
const DRAIN_LIMIT: Duration = Duration::from_secs(600);
/// The time limit for opening a connection to the cloud API. It is short, as a new holder of the duty waits for
/// [`EndpointOptions::max_delivery_time`].
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The time limit of an order until the headers of the response arrive.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// The price units of the cloud API (thousandths of a cent) in a thousandth of the currency unit.
const PRICE_UNIT: u64 = 100;

/// The stored plan differs, or may differ, from what this node wrote last.
struct PlanLost;

/// The state of the duty's holder until it loses the duty or the plan.
struct Holder {
    cx: Arc<Context>,
    duty: Arc<Duty>,
    key_value: Arc<dyn KeyValue>,
    cloud: HttpCloud,
    planner: FleetPlanner,
    version: Version,
    listed_before: BTreeSet<VmName>,
    draining_since: BTreeMap<VmName, Stamp>,
}

/// Buys and releases VMs while this node holds the duty.
pub async fn run(cx: Arc<Context>) {
    let Some(address) = cx.settings.platform.cloud else { return };
    let Some(key_value) = cx.key_value_for(Purpose::Fleet) else { return };
    let mut task: Option<DutyTask> = None;
    let mut holder: Option<Holder> = None;
    loop {
        sleep(PAUSE).await;
        // Without managed engines, holding the lease would only cost calls of the key-value service.
        if managed_engines(&cx.in_force().deployment).is_empty() {
            (task, holder) = (None, None);
            continue;
        }
        let task = task.get_or_insert_with(|| Duty::start(&cx, DUTY, None, lease_options()));
        let Some(hold) = task.duty().hold() else {
            holder = None;
            continue;
        };
        if holder.is_none() {
            let cloud = HttpCloud::new(Endpoint::new(address, order_options()));
            let cloud = cloud.with_permit(task.duty().permit(hold));
            holder = Holder::take_over(&cx, task.duty(), &key_value, cloud).await;
        }
        let Some(held) = &mut holder else { continue };
        if held.round().await.is_err() {
            holder = None;
        }
    }
}

fn lease_options() -> LeaseOptions {
    let max_delivery_time = order_options().max_delivery_time();
    LeaseOptions { max_delivery_time, ..LeaseOptions::default() }
}

fn order_options() -> EndpointOptions {
    EndpointOptions {
        connect_timeout: CONNECT_TIMEOUT,
        response_timeout: ORDER_TIMEOUT,
        max_idle: 0,
        ..EndpointOptions::default()
    }
}

// No VMs are bought for a service whose engines have fixed addresses: its operators run those.
fn managed_engines(deployment: &Deployment) -> Vec<(&ServiceName, &EnginesConfig)> {
    let engines = deployment.engines.iter().filter(|(service, _)| {
        let cfg = deployment.services.get(*service);
        cfg.is_some_and(|cfg| cfg.backends.is_empty())
    });
    engines.collect()
}

impl Holder {
    async fn take_over(
        cx: &Arc<Context>,
        duty: &Arc<Duty>,
        key_value: &Arc<dyn KeyValue>,
        cloud: HttpCloud,
    ) -> Option<Holder> {
        let found = key_value.get(PLAN_KEY).await.ok()?;
        // An absent plan counts as empty. A plan that can't be parsed is left as it is: acting on an
        // empty plan instead would buy the whole fleet a second time.
        let plan = match found.version {
            Version(0) => FleetPlan::default(),
            _ if found.value.is_empty() => FleetPlan::default(),
            _ => match serde_json::from_slice(&found.value) {
                Ok(plan) => plan,
                Err(error) => {
                    tracing::error!(event = Event::FleetPlanRejected.number(), %error);
                    return None;
                }
            },
        };
        Some(Holder {
            cx: Arc::clone(cx),
            duty: Arc::clone(duty),
            key_value: Arc::clone(key_value),
            cloud,
            planner: FleetPlanner::new(FleetOptions::default(), plan),
            version: found.version,
            listed_before: BTreeSet::new(),
            draining_since: BTreeMap::new(),
        })
    }

    async fn round(&mut self) -> Result<(), PlanLost> {
        let Ok(offers) = self.cloud.offers().await else { return Ok(()) };
        let deployment = Arc::clone(&self.cx.in_force().deployment);
        self.feed(FleetEvent::Offers(allowed(&deployment, offers))).await?;
        for (service, cfg) in managed_engines(&deployment) {
            self.feed(FleetEvent::Need(service.clone(), cfg.least)).await?;
        }
        self.observe_vms(&deployment).await?;
        for action in self.feed(FleetEvent::Tick).await? {
            self.carry_out(action).await?;
        }
        self.release_idle().await
    }

    async fn observe_vms(&mut self, deployment: &Deployment) -> Result<(), PlanLost> {
        let managed_services: Vec<&ServiceName> =
            managed_engines(deployment).into_iter().map(|(service, _)| service).collect();
        let mut listed = Vec::new();
        for vm in self.cx.backends.listed() {
            if vm.service.as_ref().is_some_and(|service| managed_services.contains(&service)) {
                listed.push(vm.vm);
            }
        }
        let known: Vec<VmName> = self
            .planner
            .plan()
            .slots
            .values()
            .filter_map(|slot| slot.state.vm().cloned())
            .collect();
        for vm in known {
            if self.cx.leaving_vms.load().contains(&vm) {
                self.feed(FleetEvent::Leaving(vm.clone())).await?;
            }
            if listed.contains(&vm) {
                self.listed_before.insert(vm.clone());
                self.feed(FleetEvent::Ready(vm)).await?;
            } else if self.listed_before.remove(&vm) {
                // The VM list shows new VMs with a delay, so only a VM that was listed before counts as
                // removed.
                self.draining_since.remove(&vm);
                self.feed(FleetEvent::Removed(vm)).await?;
            }
        }
        for action in self.feed(FleetEvent::Listed(listed)).await? {
            self.carry_out(action).await?;
        }
        Ok(())
    }

    // Passes an event to the planner and stores a changed plan before any action that depends on the
    // change.
    async fn feed(&mut self, event: FleetEvent) -> Result<Vec<FleetAction>, PlanLost> {
        let mut actions = self.planner.handle(self.cx.clock.now(), event);
        if !matches!(actions.first(), Some(FleetAction::Save(_))) {
            return Ok(actions);
        }
        let FleetAction::Save(plan) = actions.remove(0) else { return Ok(actions) };
        // A plan contains only names and numbers, for which serialization cannot fail.
        let text = Bytes::from(serde_json::to_vec(&plan).unwrap_or_default());
        let written = self.key_value.put_if(PLAN_KEY, self.version, text, None).await;
        // After a lost reply the outcome of the write is unknown, and after a conflict another node has
        // written a plan. In both cases the plan in memory is discarded and read again.
        let Ok(CasOutcome::Written(version)) = written else { return Err(PlanLost) };
        self.version = version;
        Ok(actions)
    }

    async fn carry_out(&mut self, action: FleetAction) -> Result<(), PlanLost> {
        // The lease may have expired since the round began.
        if self.duty.hold().is_none() {
            return Err(PlanLost);
        }
        match action {
            FleetAction::Buy(slot) => self.buy(slot).await,
            FleetAction::Drain(vm) => {
                notices::record_leaving(&self.cx, Source::Notice, vec![vm]);
                Ok(())
            }
            FleetAction::ReleaseOrphan(vm) => {
                tracing::warn!(event = Event::OrphanReleased.number(), %vm);
                let _ = self.cloud.release(&vm).await;
                Ok(())
            }
            FleetAction::Save(_) => Ok(()),
        }
    }

    async fn buy(&mut self, slot: Slot) -> Result<(), PlanLost> {
        let purchase = Purchase {
            token: slot.token(),
            zone: slot.place.zone.clone(),
            class: slot.place.class.clone(),
            market: market(slot.place.market),
            tag: slot.service.to_string(),
        };
        match self.cloud.buy(purchase).await {
            Ok(vm) => {
                let place = &slot.place;
                tracing::info!(event = Event::VmBought.number(), %vm, zone = %place.zone, market = ?place.market);
                self.feed(FleetEvent::Bought(slot.id, vm)).await.map(drop)
            }
            Err(error) => {
                let refused = matches!(error.fault, CallFault::Refused { status: 400..500 });
                if !refused && error.ran != Ran::No {
                    // The outcome is unknown. The retry sends the same token, so that a VM that was
                    // bought is not bought twice.
                    return Ok(());
                }
                let place = &slot.place;
                tracing::info!(event = Event::PurchaseRefused.number(), zone = %place.zone, market = ?place.market, %error);
                self.feed(FleetEvent::Refused(slot.id)).await.map(drop)
            }
        }
    }

    // An engine finishes its requests before its VM is released. A VM that the cloud reclaims is
    // released as well, which ends its billing a little earlier.
    async fn release_idle(&mut self) -> Result<(), PlanLost> {
        let now = self.cx.clock.now();
        let slots = self.planner.plan().slots.values();
        let leaving = slots.filter_map(|slot| match &slot.state {
            SlotState::Leaving(vm) => Some(vm.clone()),
            _ => None,
        });
        let leaving: Vec<VmName> = leaving.collect();
        for vm in leaving {
            let since = *self.draining_since.entry(vm.clone()).or_insert(now);
            if now < since + DRAIN_LIMIT && !self.is_idle(&vm).await {
                continue;
            }
            if self.duty.hold().is_none() {
                return Err(PlanLost);
            }
            let released = self.cloud.release(&vm).await;
            let released_or_unknown = match &released {
                Ok(()) => true,
                Err(error) => error.fault == CallFault::Refused { status: 404 },
            };
            if released_or_unknown {
                tracing::info!(event = Event::VmReleased.number(), %vm);
                self.draining_since.remove(&vm);
                self.feed(FleetEvent::Removed(vm)).await?;
            }
        }
        Ok(())
    }

    async fn is_idle(&self, vm: &VmName) -> bool {
        let mut idle = true;
        for (_, backend) in self.cx.backends.close(vm) {
            let BackendClient::Engine(engine) = backend.client else { continue };
            let load = engine.load().await;
            idle &= load.is_ok_and(|load| load.running + load.waiting == 0);
        }
        idle
    }
}

fn allowed(deployment: &Deployment, offers: Vec<Offer>) -> Vec<FleetOffer> {
    let mut classes = BTreeSet::new();
    for (_, cfg) in managed_engines(deployment) {
        classes.extend(cfg.vm_classes.iter().map(|class| class.to_string()));
    }
    let mut allowed = Vec::new();
    for offer in offers {
        let Offer { zone, class, market, price } = offer;
        if !classes.is_empty() && !classes.contains(&class) {
            continue;
        }
        let described = deployment.vm_classes.iter().find(|(name, _)| name.as_str() == class);
        if let Some((_, cfg)) = described {
            let max_price = match market {
                Market::Reclaimable => cfg.reclaimable_price,
                Market::OnDemand => cfg.on_demand_price,
            };
            let too_expensive = max_price.is_none_or(|max| u64::from(max.0) * PRICE_UNIT < price);
            if too_expensive || !cfg.zones.is_empty() && !cfg.zones.contains(&zone) {
                continue;
            }
        }
        let market = match market {
            Market::Reclaimable => FleetMarket::Reclaimable,
            Market::OnDemand => FleetMarket::OnDemand,
        };
        allowed.push(FleetOffer { place: Place { zone, class, market }, price });
    }
    allowed
}

fn market(market: FleetMarket) -> Market {
    match market {
        FleetMarket::Reclaimable => Market::Reclaimable,
        FleetMarket::OnDemand => Market::OnDemand,
    }
}
