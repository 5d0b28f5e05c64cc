//! The state machine that buys and releases VMs so that each service has the capacity that it needs
//! at the lowest price.

use std::collections::{BTreeMap, BTreeSet};

use bulrushhall_core::{ServiceName, Stamp, VmName, ZoneName};

use crate::fleet::{
    Backoff, FleetMarket, FleetOffer, FleetOptions, FleetPlan, Place, Slot, SlotId, SlotState,
    Spread,
};

/// The minimum number of zones over which VMs are spread, if there are as many, even if some of
/// them refuse purchases.
const MIN_ZONES: usize = 3;

/// A `FleetEvent` is an input to a [`FleetPlanner`].
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// The current offers of the cloud.
    Offers(Vec<FleetOffer>),
    /// The number of engines that a service needs even if any one zone is lost.
    Need(ServiceName, u32),
    /// The VM of a slot was bought.
    Bought(SlotId, VmName),
    /// The purchase for a slot was refused.
    Refused(SlotId),
    /// A VM is ready to serve requests.
    Ready(VmName),
    /// A VM is about to be reclaimed.
    Leaving(VmName),
    /// A VM no longer exists.
    Removed(VmName),
    /// The VMs with the tag of this deployment.
    Listed(Vec<VmName>),
    /// The periodic tick.
    Tick,
}

/// A `FleetAction` is an output of a [`FleetPlanner`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetAction {
    /// Write the plan by compare-and-swap; the following actions require that it succeeded.
    Save(FleetPlan),
    /// Buy the VM of a slot with the token of the slot.
    Buy(Slot),
    /// Drain a VM and release it once it is idle.
    Drain(VmName),
    /// Release a VM that is not in the plan.
    ReleaseOrphan(VmName),
}

/// A `FleetPlanner` decides which VMs are bought and released.
#[derive(Clone, Debug)]
pub struct FleetPlanner {
    options: FleetOptions,
    plan: FleetPlan,
    offers: Vec<FleetOffer>,
    needs: BTreeMap<ServiceName, Need>,
    backoff: Backoff,
    /// When the purchase for a slot was last attempted, by slot number.
    purchase_attempts: BTreeMap<u64, Stamp>,
    /// Since when a VM is listed that is not in the plan.
    orphans: BTreeMap<VmName, Stamp>,
}

#[derive(Clone, Copy, Debug)]
struct Need {
    engines: u32,
    /// The highest need since it fell below `engines`, and when it fell.
    reduced: Option<(u32, Stamp)>,
}

impl FleetPlanner {
    /// Returns a planner that continues a saved plan.
    pub fn new(options: FleetOptions, plan: FleetPlan) -> FleetPlanner {
        FleetPlanner {
            options,
            plan,
            offers: Vec::new(),
            needs: BTreeMap::new(),
            backoff: Backoff::default(),
            purchase_attempts: BTreeMap::new(),
            orphans: BTreeMap::new(),
        }
    }

    /// Returns the plan.
    pub fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, now: Stamp, event: FleetEvent) -> Vec<FleetAction> {
        let before = self.plan.clone();
        let mut out = Vec::new();
        match event {
            FleetEvent::Offers(offers) => self.offers = offers,
            FleetEvent::Need(service, engines) => self.on_need(now, service, engines),
            FleetEvent::Bought(id, vm) => self.on_bought(id, vm),
            FleetEvent::Refused(id) => self.on_refused(now, id),
            FleetEvent::Ready(vm) => self.set_state(&vm, SlotState::Ready),
            FleetEvent::Leaving(vm) => self.on_leaving(now, &vm),
            FleetEvent::Removed(vm) => self.on_removed(now, &vm),
            FleetEvent::Listed(vms) => self.on_listed(now, vms, &mut out),
            FleetEvent::Tick => self.plan_all(now, &mut out),
        }
        if self.plan != before {
            self.plan.generation = before.generation + 1;
            out.insert(0, FleetAction::Save(self.plan.clone()));
        }
        out
    }

    // A short drop of the need releases nothing, since a VM bought afterwards starts with a cold
    // engine.
    fn on_need(&mut self, now: Stamp, service: ServiceName, engines: u32) {
        let need = self.needs.entry(service).or_insert(Need { engines, reduced: None });
        if need.engines <= engines {
            *need = Need { engines, reduced: None };
            return;
        }
        let (highest, since) = need.reduced.unwrap_or((engines, now));
        need.reduced = Some((highest.max(engines), since));
        if since + self.options.scale_in_delay <= now {
            *need = Need { engines: highest.max(engines), reduced: None };
        }
    }

    fn on_bought(&mut self, id: SlotId, vm: VmName) {
        let Some(slot) = self.plan.slots.get_mut(&id.number) else { return };
        if slot.id != id || slot.state != SlotState::Wanted {
            return;
        }
        slot.state = SlotState::Bought(vm);
        self.backoff.purchased(&slot.place);
        self.purchase_attempts.remove(&id.number);
    }

    fn on_refused(&mut self, now: Stamp, id: SlotId) {
        let Some(slot) = self.plan.slots.get_mut(&id.number) else { return };
        if slot.id != id || slot.state != SlotState::Wanted {
            return;
        }
        let FleetOptions { initial_backoff, max_backoff, .. } = self.options;
        self.backoff.refused(now, &slot.place, initial_backoff, max_backoff);
        // The next tick adds a new slot in another place and with another token.
        self.plan.slots.remove(&id.number);
        self.purchase_attempts.remove(&id.number);
    }

    fn on_leaving(&mut self, now: Stamp, vm: &VmName) {
        let Some(slot) = self.plan.find(vm).filter(|slot| slot.state.is_active()) else { return };
        let place = slot.place.clone();
        self.set_state(vm, SlotState::Leaving);
        // A zone that reclaims VMs would reclaim the replacement next.
        self.backoff.hold(now, &place, self.options.reclaim_backoff);
    }

    fn on_removed(&mut self, now: Stamp, vm: &VmName) {
        self.on_leaving(now, vm);
        self.plan.slots.retain(|_, slot| slot.state.vm() != Some(vm));
    }

    fn set_state(&mut self, vm: &VmName, state: fn(VmName) -> SlotState) {
        for slot in self.plan.slots.values_mut() {
            if slot.state.vm() == Some(vm) && slot.state.is_active() {
                slot.state = state(vm.clone());
            }
        }
    }

    // If the buyer fails after a purchase, or a former holder of the duty buys from a stale plan, a
    // VM is paid for but unused. It is listed with the tag but not in the plan.
    fn on_listed(&mut self, now: Stamp, vms: Vec<VmName>, out: &mut Vec<FleetAction>) {
        let unknown = vms.into_iter().filter(|vm| self.plan.find(vm).is_none());
        let unknown: Vec<VmName> = unknown.collect();
        self.orphans.retain(|vm, _| unknown.contains(vm));
        for vm in unknown {
            let since = *self.orphans.entry(vm.clone()).or_insert(now);
            // The list lags behind purchases and releases, and a purchase whose reply was lost is
            // recorded in the plan only after a retry. Both take much less than the grace period.
            if since + self.options.orphan_grace_period <= now {
                out.push(FleetAction::ReleaseOrphan(vm));
            }
        }
    }

    fn plan_all(&mut self, now: Stamp, out: &mut Vec<FleetAction>) {
        let needs: Vec<(ServiceName, u32)> =
            self.needs.iter().map(|(service, need)| (service.clone(), need.engines)).collect();
        for (service, engines) in needs {
            let spread = self.spread(now, engines);
            self.fill(now, &service, engines, spread);
            self.replace_expensive(now, &service, spread);
            self.drain_surplus(&service, engines, spread, out);
        }
        self.buy(now, out);
    }

    // While a zone refuses purchases, the other zones take its part, provided that three are left.
    // With fewer, all VMs would be concentrated in the last zone, which may be reclaimed next.
    fn spread(&self, now: Stamp, engines: u32) -> Spread {
        let (mut zones, mut open) = (BTreeSet::new(), BTreeSet::new());
        for offer in &self.offers {
            zones.insert(&offer.place.zone);
            let reclaimable = offer.place.market == FleetMarket::Reclaimable;
            if reclaimable && self.backoff.is_open(now, &offer.place) {
                open.insert(&offer.place.zone);
            }
        }
        let zones = zones.len();
        let spread_zones = open.len().max(MIN_ZONES).min(zones);
        Spread::surviving(engines, u32::try_from(spread_zones).unwrap_or(u32::MAX))
    }

    fn fill(&mut self, now: Stamp, service: &ServiceName, engines: u32, spread: Spread) {
        while self.balanced_count(service, spread) < spread.total {
            let Some(place) = self.cheapest_reclaimable(now, service, spread) else { break };
            self.add_slot(service, place);
        }
        // On-demand VMs replace reclaimable ones that are refused: they are expensive, but keep
        // urgent requests served.
        while self.survivors(service, SlotState::is_active) < engines {
            let Some(place) = self.cheapest_on_demand(now, service) else { break };
            self.add_slot(service, place);
        }
    }

    // Returns the number of reclaimable VMs, not counting those beyond the maximum per zone.
    fn balanced_count(&self, service: &ServiceName, spread: Spread) -> u32 {
        let zones = self.by_zone(service, SlotState::is_active);
        zones.values().map(|(reclaimable, _)| (*reclaimable).min(spread.per_zone)).sum()
    }

    // Returns the number of VMs that remain when the zone with the most reclaimable ones is lost.
    fn survivors(&self, service: &ServiceName, is_counted: fn(&SlotState) -> bool) -> u32 {
        let zones = self.by_zone(service, is_counted);
        let total: u32 =
            zones.values().map(|(reclaimable, on_demand)| reclaimable + on_demand).sum();
        total - zones.values().map(|(reclaimable, _)| *reclaimable).max().unwrap_or(0)
    }

    // Returns the numbers of reclaimable and of on-demand VMs in each zone.
    fn by_zone<'a>(
        &'a self,
        service: &'a ServiceName,
        is_counted: fn(&SlotState) -> bool,
    ) -> BTreeMap<&'a ZoneName, (u32, u32)> {
        let mut zones = BTreeMap::new();
        for slot in self.plan.slots_of(service).filter(|slot| is_counted(&slot.state)) {
            let zone: &mut (u32, u32) = zones.entry(&slot.place.zone).or_default();
            match slot.place.market {
                FleetMarket::Reclaimable => zone.0 += 1,
                FleetMarket::OnDemand => zone.1 += 1,
            }
        }
        zones
    }

    fn add_slot(&mut self, service: &ServiceName, place: Place) {
        let number = self.plan.next;
        self.plan.next += 1;
        let id = SlotId { number, generation: self.plan.generation + 1 };
        let state = SlotState::Wanted;
        self.plan.slots.insert(number, Slot { id, service: service.clone(), place, state });
    }

    // Returns the cheapest reclaimable place in a zone below the maximum per zone.
    fn cheapest_reclaimable(
        &self,
        now: Stamp,
        service: &ServiceName,
        spread: Spread,
    ) -> Option<Place> {
        let open = self.offers.iter().filter(|offer| {
            offer.place.market == FleetMarket::Reclaimable
                && self.backoff.is_open(now, &offer.place)
                && self.reclaimable_in(service, &offer.place.zone) < spread.per_zone
        });
        let best = open.min_by_key(|offer| {
            (offer.price, self.reclaimable_in(service, &offer.place.zone), offer.place.clone())
        });
        best.map(|offer| offer.place.clone())
    }

    // Returns the cheapest on-demand place; ties go to the zone with the fewest VMs.
    fn cheapest_on_demand(&self, now: Stamp, service: &ServiceName) -> Option<Place> {
        let open = self.offers.iter().filter(|offer| {
            offer.place.market == FleetMarket::OnDemand && self.backoff.is_open(now, &offer.place)
        });
        let best = open.min_by_key(|offer| {
            let in_zone =
                self.plan.slots_of(service).filter(|slot| slot.place.zone == offer.place.zone);
            (offer.price, in_zone.count(), offer.place.clone())
        });
        best.map(|offer| offer.place.clone())
    }

    fn reclaimable_in(&self, service: &ServiceName, zone: &ZoneName) -> u32 {
        let slots = self.plan.slots_of(service).filter(|slot| {
            slot.place.zone == *zone
                && slot.place.market == FleetMarket::Reclaimable
                && slot.state.is_active()
        });
        u32::try_from(slots.count()).unwrap_or(u32::MAX)
    }

    // Buys one extra VM in a place that is much cheaper. Once it serves, the most expensive VM is
    // surplus and gets drained. One replacement at a time keeps churn low when prices fluctuate.
    fn replace_expensive(&mut self, now: Stamp, service: &ServiceName, spread: Spread) {
        let active = self.plan.slots_of(service).filter(|slot| slot.state.is_active());
        let (mut present, mut all_ready) = (0, true);
        for slot in active {
            present += 1;
            all_ready &= slot.state.is_ready();
        }
        if !all_ready || present != spread.total {
            return;
        }
        let Some(most_expensive) = self.most_expensive(service, FleetMarket::Reclaimable, spread)
        else {
            return;
        };
        let current_price = self.price(&most_expensive.place);
        let Some(place) = self.cheapest_reclaimable(now, service, spread) else { return };
        let threshold = self.price(&place) as f64 * self.options.replace_price_ratio;
        if threshold < current_price as f64 {
            self.add_slot(service, place);
        }
    }

    // Drains a VM only if enough others serve to survive the loss of a zone without it.
    fn drain_surplus(
        &mut self,
        service: &ServiceName,
        engines: u32,
        spread: Spread,
        out: &mut Vec<FleetAction>,
    ) {
        loop {
            let zones = self.by_zone(service, SlotState::is_ready);
            let reclaimable: u32 = zones.values().map(|(reclaimable, _)| *reclaimable).sum();
            let surplus = match reclaimable <= spread.total {
                true => self.most_expensive(service, FleetMarket::OnDemand, spread),
                false => self.most_expensive(service, FleetMarket::Reclaimable, spread),
            };
            let Some((vm, state)) =
                surplus.and_then(|slot| Some((slot.state.vm()?.clone(), slot.state.clone())))
            else {
                return;
            };
            self.set_state(&vm, SlotState::Leaving);
            if self.survivors(service, SlotState::is_ready) < engines {
                self.restore_state(&vm, state);
                return;
            }
            out.push(FleetAction::Drain(vm));
        }
    }

    fn restore_state(&mut self, vm: &VmName, state: SlotState) {
        for slot in self.plan.slots.values_mut() {
            if slot.state.vm() == Some(vm) {
                slot.state = state.clone();
            }
        }
    }

    // Returns the most expensive ready slot, with preference for zones above the maximum per zone.
    // By price alone a single zone would be emptied, and the remaining VMs would not survive a zone
    // loss.
    fn most_expensive<'a>(
        &'a self,
        service: &'a ServiceName,
        market: FleetMarket,
        spread: Spread,
    ) -> Option<&'a Slot> {
        let ready = self.plan.slots_of(service).filter(|slot| slot.state.is_ready());
        ready.filter(|slot| slot.place.market == market).max_by_key(|slot| {
            let in_zone = self.reclaimable_in(service, &slot.place.zone);
            (spread.per_zone < in_zone, self.price(&slot.place), in_zone, slot.id)
        })
    }

    fn price(&self, place: &Place) -> u64 {
        let offer = self.offers.iter().find(|offer| offer.place == *place);
        offer.map_or(u64::MAX, |offer| offer.price)
    }

    fn buy(&mut self, now: Stamp, out: &mut Vec<FleetAction>) {
        for slot in self.plan.slots.values() {
            if slot.state != SlotState::Wanted {
                continue;
            }
            // A reply may be lost. A retry with the same token does not buy a second VM.
            let retry_at = self
                .purchase_attempts
                .get(&slot.id.number)
                .map(|at| *at + self.options.purchase_retry_interval);
            if retry_at.is_some_and(|retry_at| now < retry_at) {
                continue;
            }
            self.purchase_attempts.insert(slot.id.number, now);
            out.push(FleetAction::Buy(slot.clone()));
        }
    }
}
