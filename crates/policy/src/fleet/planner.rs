//! The state machine that keeps each service at its needed capacity at the least price.

use std::collections::{BTreeMap, BTreeSet};

use bulrushhall_core::{ServiceName, Stamp, VmName, ZoneName};

use crate::fleet::{
    Backoff, FleetMarket, FleetOffer, FleetOptions, FleetPlan, Place, Slot, SlotId, SlotState,
    Spread,
};

/// The fewest zones that VMs are spread over, whichever of them refuse, where there are as many.
const LEAST_ZONES: usize = 3;

/// A `FleetEvent` is what a [`FleetPlanner`] learns.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// What can be bought now.
    Offers(Vec<FleetOffer>),
    /// How many engines a service needs, whatever zone is lost.
    Need(ServiceName, u32),
    /// A slot's VM was bought.
    Bought(SlotId, VmName),
    /// A slot's purchase was refused.
    Refused(SlotId),
    /// A VM serves.
    Ready(VmName),
    /// A VM is about to be taken back.
    Leaving(VmName),
    /// A VM is gone.
    Removed(VmName),
    /// The VMs that carry this deployment's tag.
    Listed(Vec<VmName>),
    /// Time passes.
    Tick,
}

/// A `FleetAction` is what a [`FleetPlanner`] wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetAction {
    /// Write the plan by compare-and-swap; what follows is done only once that has succeeded.
    Save(FleetPlan),
    /// Buy a slot's VM with the slot's token.
    Buy(Slot),
    /// Take no new work on a VM and release it once it is empty.
    Drain(VmName),
    /// Release a VM that no plan knows.
    ReleaseOrphan(VmName),
}

/// A `FleetPlanner` decides which VMs are bought and given back.
#[derive(Clone, Debug)]
pub struct FleetPlanner {
    options: FleetOptions,
    plan: FleetPlan,
    offers: Vec<FleetOffer>,
    needs: BTreeMap<ServiceName, Need>,
    backoff: Backoff,
    asked: BTreeMap<u64, Stamp>,
    orphans: BTreeMap<VmName, Stamp>,
}

#[derive(Clone, Copy, Debug)]
struct Need {
    engines: u32,
    lower: Option<(u32, Stamp)>,
}

impl FleetPlanner {
    /// Returns a planner that goes on from a saved plan.
    pub fn new(options: FleetOptions, plan: FleetPlan) -> FleetPlanner {
        FleetPlanner {
            options,
            plan,
            offers: Vec::new(),
            needs: BTreeMap::new(),
            backoff: Backoff::default(),
            asked: BTreeMap::new(),
            orphans: BTreeMap::new(),
        }
    }

    /// Returns the plan.
    pub fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Stamp, event: FleetEvent) -> Vec<FleetAction> {
        let before = self.plan.clone();
        let mut out = Vec::new();
        match event {
            FleetEvent::Offers(offers) => self.offers = offers,
            FleetEvent::Need(service, engines) => self.need(now, service, engines),
            FleetEvent::Bought(id, vm) => self.bought(id, vm),
            FleetEvent::Refused(id) => self.refused(now, id),
            FleetEvent::Ready(vm) => self.set_state(&vm, SlotState::Ready),
            FleetEvent::Leaving(vm) => self.leaving(now, &vm),
            FleetEvent::Removed(vm) => self.gone(now, &vm),
            FleetEvent::Listed(vms) => self.listed(now, vms, &mut out),
            FleetEvent::Tick => self.plan_all(now, &mut out),
        }
        if self.plan != before {
            self.plan.generation = before.generation + 1;
            out.insert(0, FleetAction::Save(self.plan.clone()));
        }
        out
    }

    // A need that falls for a moment gives nothing back: buying again costs a cold engine.
    fn need(&mut self, now: Stamp, service: ServiceName, engines: u32) {
        let need = self.needs.entry(service).or_insert(Need { engines, lower: None });
        if need.engines <= engines {
            *need = Need { engines, lower: None };
            return;
        }
        let (most, since) = need.lower.unwrap_or((engines, now));
        need.lower = Some((most.max(engines), since));
        if since + self.options.scale_in <= now {
            *need = Need { engines: most.max(engines), lower: None };
        }
    }

    fn bought(&mut self, id: SlotId, vm: VmName) {
        let Some(slot) = self.plan.slots.get_mut(&id.number) else { return };
        if slot.id != id || slot.state != SlotState::Wanted {
            return;
        }
        slot.state = SlotState::Bought(vm);
        self.backoff.sold(&slot.place);
        self.asked.remove(&id.number);
    }

    fn refused(&mut self, now: Stamp, id: SlotId) {
        let Some(slot) = self.plan.slots.get_mut(&id.number) else { return };
        if slot.id != id || slot.state != SlotState::Wanted {
            return;
        }
        let FleetOptions { refused, refused_max, .. } = self.options;
        self.backoff.refused(now, &slot.place, refused, refused_max);
        // The slot goes; the next tick wants one in another place under another token.
        self.plan.slots.remove(&id.number);
        self.asked.remove(&id.number);
    }

    fn leaving(&mut self, now: Stamp, vm: &VmName) {
        let Some(slot) = self.plan.find(vm).filter(|slot| slot.state.counts()) else { return };
        let place = slot.place.clone();
        self.set_state(vm, SlotState::Leaving);
        // A zone that takes VMs back would take the replacement next.
        self.backoff.hold(now, &place, self.options.reclaimed);
    }

    fn gone(&mut self, now: Stamp, vm: &VmName) {
        self.leaving(now, vm);
        self.plan.slots.retain(|_, slot| slot.state.vm() != Some(vm));
    }

    fn set_state(&mut self, vm: &VmName, state: fn(VmName) -> SlotState) {
        for slot in self.plan.slots.values_mut() {
            if slot.state.vm() == Some(vm) && slot.state.counts() {
                slot.state = state(vm.clone());
            }
        }
    }

    // A purchase whose buyer died, or that an old holder made from an old plan, leaves a VM that
    // is paid for and used by nobody. It shows in the list with the tag and in no plan.
    fn listed(&mut self, now: Stamp, vms: Vec<VmName>, out: &mut Vec<FleetAction>) {
        let unknown = vms.into_iter().filter(|vm| self.plan.find(vm).is_none());
        let unknown: Vec<VmName> = unknown.collect();
        self.orphans.retain(|vm, _| unknown.contains(vm));
        for vm in unknown {
            let since = *self.orphans.entry(vm.clone()).or_insert(now);
            // The list lags behind purchases, and a purchase whose reply was lost is in the plan
            // only after it was repeated; both take much less than this time.
            if since + self.options.orphan <= now {
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
            self.replace_dear(now, &service, spread);
            self.drain_surplus(&service, engines, spread, out);
        }
        self.buy(now, out);
    }

    // While a zone refuses, the others take its part, as long as three are left to spread over.
    // With fewer, spreading would rush all VMs to the last zone, which may be taken back next.
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
        let spread_over = open.len().max(LEAST_ZONES).min(zones);
        Spread::surviving(engines, u32::try_from(spread_over).unwrap_or(u32::MAX))
    }

    fn fill(&mut self, now: Stamp, service: &ServiceName, engines: u32, spread: Spread) {
        while self.spread_out(service, spread) < spread.total {
            let Some(place) = self.cheapest(now, service, spread) else { break };
            self.want(service, place);
        }
        // On demand is for where reclaimable is refused: dear, but it keeps urgent work served.
        while self.survivors(service, SlotState::counts) < engines {
            let Some(place) = self.on_demand(now, service) else { break };
            self.want(service, place);
        }
    }

    // Returns the reclaimable VMs, those beyond a zone's part left out.
    fn spread_out(&self, service: &ServiceName, spread: Spread) -> u32 {
        let zones = self.by_zone(service, SlotState::counts);
        zones.values().map(|(reclaimable, _)| (*reclaimable).min(spread.per_zone)).sum()
    }

    // Returns how many VMs are left when the zone with the most reclaimable ones is lost.
    fn survivors(&self, service: &ServiceName, counts: fn(&SlotState) -> bool) -> u32 {
        let zones = self.by_zone(service, counts);
        let all: u32 = zones.values().map(|(reclaimable, on_demand)| reclaimable + on_demand).sum();
        all - zones.values().map(|(reclaimable, _)| *reclaimable).max().unwrap_or(0)
    }

    // Returns the reclaimable and the on-demand VMs in each zone.
    fn by_zone<'a>(
        &'a self,
        service: &'a ServiceName,
        counts: fn(&SlotState) -> bool,
    ) -> BTreeMap<&'a ZoneName, (u32, u32)> {
        let mut zones = BTreeMap::new();
        for slot in self.plan.of(service).filter(|slot| counts(&slot.state)) {
            let zone: &mut (u32, u32) = zones.entry(&slot.place.zone).or_default();
            match slot.place.market {
                FleetMarket::Reclaimable => zone.0 += 1,
                FleetMarket::OnDemand => zone.1 += 1,
            }
        }
        zones
    }

    fn want(&mut self, service: &ServiceName, place: Place) {
        let number = self.plan.next;
        self.plan.next += 1;
        let id = SlotId { number, generation: self.plan.generation + 1 };
        let state = SlotState::Wanted;
        self.plan.slots.insert(number, Slot { id, service: service.clone(), place, state });
    }

    // Returns the cheapest reclaimable place in a zone that has room for one more.
    fn cheapest(&self, now: Stamp, service: &ServiceName, spread: Spread) -> Option<Place> {
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

    // Returns the cheapest place on demand, of equal ones that in the emptiest zone.
    fn on_demand(&self, now: Stamp, service: &ServiceName) -> Option<Place> {
        let open = self.offers.iter().filter(|offer| {
            offer.place.market == FleetMarket::OnDemand && self.backoff.is_open(now, &offer.place)
        });
        let best = open.min_by_key(|offer| {
            let in_zone = self.plan.of(service).filter(|slot| slot.place.zone == offer.place.zone);
            (offer.price, in_zone.count(), offer.place.clone())
        });
        best.map(|offer| offer.place.clone())
    }

    fn reclaimable_in(&self, service: &ServiceName, zone: &ZoneName) -> u32 {
        let slots = self.plan.of(service).filter(|slot| {
            slot.place.zone == *zone
                && slot.place.market == FleetMarket::Reclaimable
                && slot.state.counts()
        });
        u32::try_from(slots.count()).unwrap_or(u32::MAX)
    }

    // One VM more than needed is bought where it is much cheaper; once it serves, the dearest one
    // is surplus and drained. One at a time: a price that swings moves little.
    fn replace_dear(&mut self, now: Stamp, service: &ServiceName, spread: Spread) {
        let counted = self.plan.of(service).filter(|slot| slot.state.counts());
        let (mut present, mut settled) = (0, true);
        for slot in counted {
            present += 1;
            settled &= slot.state.is_ready();
        }
        if !settled || present != spread.total {
            return;
        }
        let Some(dearest) = self.dearest(service, FleetMarket::Reclaimable, spread) else { return };
        let dear_price = self.price(&dearest.place);
        let Some(place) = self.cheapest(now, service, spread) else { return };
        let undercut = self.price(&place) as f64 * self.options.undercut;
        if undercut < dear_price as f64 {
            self.want(service, place);
        }
    }

    // A VM goes only while enough others serve to survive the loss of a zone without it.
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
            let spare = match reclaimable <= spread.total {
                true => self.dearest(service, FleetMarket::OnDemand, spread),
                false => self.dearest(service, FleetMarket::Reclaimable, spread),
            };
            let Some((vm, state)) =
                spare.and_then(|slot| Some((slot.state.vm()?.clone(), slot.state.clone())))
            else {
                return;
            };
            self.set_state(&vm, SlotState::Leaving);
            if self.survivors(service, SlotState::is_ready) < engines {
                self.restore(&vm, state);
                return;
            }
            out.push(FleetAction::Drain(vm));
        }
    }

    fn restore(&mut self, vm: &VmName, state: SlotState) {
        for slot in self.plan.slots.values_mut() {
            if slot.state.vm() == Some(vm) {
                slot.state = state.clone();
            }
        }
    }

    // Returns the serving slot in a zone that has more than its part, and of those the one with
    // the highest price. By price alone one zone would be emptied and the rest would not survive.
    fn dearest<'a>(
        &'a self,
        service: &'a ServiceName,
        market: FleetMarket,
        spread: Spread,
    ) -> Option<&'a Slot> {
        let ready = self.plan.of(service).filter(|slot| slot.state.is_ready());
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
            // A reply may be lost. Asking again with the same token buys nothing twice.
            let again = self.asked.get(&slot.id.number).map(|at| *at + self.options.repeat);
            if again.is_some_and(|again| now < again) {
                continue;
            }
            self.asked.insert(slot.id.number, now);
            out.push(FleetAction::Buy(slot.clone()));
        }
    }
}
