//! The fleet plan under reclaims, refusals, lost replies and two concurrent holders of the duty.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bulrushhall_core::{ServiceName, Stamp, VmName, ZoneName};
use bulrushhall_policy::{
    FleetAction, FleetEvent, FleetOptions, FleetPlan, FleetPlanner,
    fleet::{FleetMarket, FleetOffer, Place, Shortfall, SlotState, Spread, next_to_load},
};
use rstest::rstest;

const ZONES: [&str; 4] = ["suva-a", "suva-b", "nausori", "navua"];

/// A simulated cloud that sells VMs and refuses purchases.
#[derive(Default)]
struct Cloud {
    tokens: BTreeMap<String, VmName>,
    refused: BTreeSet<(String, FleetMarket)>,
    attempts: Vec<Place>,
}

impl Cloud {
    fn buy(&mut self, token: String, place: &Place) -> Option<VmName> {
        self.attempts.push(place.clone());
        if let Some(vm) = self.tokens.get(&token) {
            return Some(vm.clone());
        }
        if self.refused.contains(&(place.zone.to_string(), place.market)) {
            return None;
        }
        let vm = VmName::new(format!("vm-{}", self.tokens.len())).expect("a valid name");
        self.tokens.insert(token, vm.clone());
        Some(vm)
    }
}

fn service() -> ServiceName {
    ServiceName::new("pattern-desk").expect("a valid name")
}

fn offers() -> Vec<FleetOffer> {
    let mut offers = Vec::new();
    for (at, zone) in (0..).zip(ZONES) {
        let zone = ZoneName::new(zone).expect("a valid name");
        for (market, price) in
            [(FleetMarket::Reclaimable, 100 + 10 * at), (FleetMarket::OnDemand, 400)]
        {
            let place = Place { zone: zone.clone(), class: "one-engine".to_owned(), market };
            offers.push(FleetOffer { place, price });
        }
    }
    offers
}

fn planner(needed: u32) -> FleetPlanner {
    let mut planner = FleetPlanner::new(FleetOptions::default(), FleetPlan::default());
    planner.handle(Stamp(0), FleetEvent::Offers(offers()));
    planner.handle(Stamp(0), FleetEvent::Need(service(), needed));
    planner
}

// Runs one tick; the cloud replies immediately and VMs are ready immediately.
fn run_tick(planner: &mut FleetPlanner, cloud: &mut Cloud, now: Stamp) -> Vec<VmName> {
    let mut drained = Vec::new();
    for action in planner.handle(now, FleetEvent::Tick) {
        match action {
            FleetAction::Buy(slot) => match cloud.buy(slot.token(), &slot.place) {
                Some(vm) => {
                    planner.handle(now, FleetEvent::Bought(slot.id, vm.clone()));
                    planner.handle(now, FleetEvent::Ready(vm));
                }
                None => drop(planner.handle(now, FleetEvent::Refused(slot.id))),
            },
            FleetAction::Drain(vm) => drained.push(vm),
            FleetAction::Save(_) | FleetAction::ReleaseOrphan(_) => {}
        }
    }
    drained
}

fn count(planner: &FleetPlanner, zone: &str, market: FleetMarket) -> usize {
    let slots = planner.plan().slots.values();
    let there = slots.filter(|slot| {
        slot.state.is_active() && slot.place.zone.as_str() == zone && slot.place.market == market
    });
    there.count()
}

fn total(planner: &FleetPlanner, market: FleetMarket) -> usize {
    ZONES.iter().map(|zone| count(planner, zone, market)).sum()
}

fn reclaim(planner: &mut FleetPlanner, cloud: &mut Cloud, now: Stamp, zone: &str) {
    cloud.refused.insert((zone.to_owned(), FleetMarket::Reclaimable));
    let slots = planner.plan().slots.values();
    let hit = slots.filter(|slot| {
        slot.place.zone.as_str() == zone && slot.place.market == FleetMarket::Reclaimable
    });
    let hit: Vec<VmName> = hit.filter_map(|slot| slot.state.vm().cloned()).collect();
    for vm in hit {
        planner.handle(now, FleetEvent::Leaving(vm));
    }
}

#[rstest]
#[case(9, 4, 12, 3)]
#[case(13, 4, 18, 5)]
#[case(9, 3, 14, 5)]
#[case(9, 1, 9, 9)]
#[case(0, 4, 0, 0)]
fn spread_survives(
    #[case] needed: u32,
    #[case] zones: u32,
    #[case] all: u32,
    #[case] per_zone: u32,
) {
    assert_eq!(Spread::surviving(needed, zones), Spread { total: all, per_zone });
}

#[test]
fn buys_cheapest_spread() {
    let (mut planner, mut cloud) = (planner(9), Cloud::default());
    run_tick(&mut planner, &mut cloud, Stamp(0));
    for zone in ZONES {
        assert_eq!(count(&planner, zone, FleetMarket::Reclaimable), 3);
    }
    assert_eq!(total(&planner, FleetMarket::OnDemand), 0);
}

// A zone is reclaimed and has no capacity for a while. The remaining VMs can carry the load, but
// VMs must be added in the other zones, or the next reclaim would leave too few and callers would
// be refused.
#[test]
fn lost_zone_is_redistributed() {
    let (mut planner, mut cloud) = (planner(9), Cloud::default());
    run_tick(&mut planner, &mut cloud, Stamp(0));
    reclaim(&mut planner, &mut cloud, Stamp::from_millis(1_000), "suva-a");
    run_tick(&mut planner, &mut cloud, Stamp::from_millis(2_000));
    assert_eq!(total(&planner, FleetMarket::Reclaimable), 14);
    assert_eq!(count(&planner, "suva-a", FleetMarket::Reclaimable), 0);
    assert!(ZONES.iter().all(|zone| count(&planner, zone, FleetMarket::Reclaimable) <= 5));
    assert_eq!(total(&planner, FleetMarket::OnDemand), 0);
}

// Three zones are reclaimed one after the other. If all missing VMs were bought in the last zone,
// its loss would take everything.
#[test]
fn last_zone_is_not_overfilled() {
    let (mut planner, mut cloud) = (planner(9), Cloud::default());
    run_tick(&mut planner, &mut cloud, Stamp(0));
    for (at, zone) in (1..).zip(&ZONES[..3]) {
        let now = Stamp::from_millis(at * 10_000);
        reclaim(&mut planner, &mut cloud, now, zone);
        run_tick(&mut planner, &mut cloud, now + Duration::from_secs(1));
    }
    assert!(count(&planner, "navua", FleetMarket::Reclaimable) <= 5);
    assert!(9 <= total(&planner, FleetMarket::OnDemand), "on-demand VMs cover the rest");
}

// Reclaimable VMs are unavailable everywhere and then available again. On-demand VMs must then be
// released, since they would triple the cost.
#[test]
fn on_demand_is_released() {
    let (mut planner, mut cloud) = (planner(9), Cloud::default());
    for zone in ZONES {
        cloud.refused.insert((zone.to_owned(), FleetMarket::Reclaimable));
    }
    let mut now = Stamp(0);
    for _ in 0..40 {
        run_tick(&mut planner, &mut cloud, now);
        now = now + Duration::from_secs(1);
    }
    assert_eq!(total(&planner, FleetMarket::OnDemand), 9);
    let refusals = cloud.attempts.iter().filter(|place| place.market == FleetMarket::Reclaimable);
    assert!(refusals.count() < 80, "attempts in refusing places back off");

    cloud.refused.clear();
    for _ in 0..400 {
        run_tick(&mut planner, &mut cloud, now);
        now = now + Duration::from_secs(1);
    }
    assert_eq!(total(&planner, FleetMarket::OnDemand), 0);
    assert_eq!(total(&planner, FleetMarket::Reclaimable), 12);
}

// The replies to purchases are lost, so the planner retries them. A second VM would be paid for but
// unused.
#[test]
fn lost_reply_buys_once() {
    let (mut planner, mut cloud) = (planner(9), Cloud::default());
    for seconds in [0, 5, 10] {
        let now = Stamp::from_millis(seconds * 1_000);
        for action in planner.handle(now, FleetEvent::Tick) {
            let FleetAction::Buy(slot) = action else { continue };
            cloud.buy(slot.token(), &slot.place);
        }
    }
    assert_eq!(cloud.tokens.len(), 12);
    assert_eq!(cloud.attempts.len(), 36);
}

// A paused holder of the duty resumes after another node has taken over from the saved plan. Both
// buy, but each slot must be bought only once.
#[test]
fn concurrent_holders_buy_once() {
    let (mut first, mut cloud) = (planner(9), Cloud::default());
    let actions = first.handle(Stamp(0), FleetEvent::Tick);
    let Some(FleetAction::Save(saved)) = actions.first().cloned() else { panic!("not saved") };

    let mut second_holder = FleetPlanner::new(FleetOptions::default(), saved);
    second_holder.handle(Stamp(0), FleetEvent::Offers(offers()));
    second_holder.handle(Stamp(0), FleetEvent::Need(service(), 9));
    run_tick(&mut second_holder, &mut cloud, Stamp(0));
    assert_eq!(cloud.tokens.len(), 12);

    for action in actions {
        let FleetAction::Buy(slot) = action else { continue };
        cloud.buy(slot.token(), &slot.place);
    }
    assert_eq!(cloud.tokens.len(), 12);
}

// The former holder buys slots that the new one has replaced. The number of these VMs is bounded by
// the wanted slots of its plan, and they are released because they are not in the current plan.
#[test]
fn stale_purchases_are_orphans() {
    let (mut first, mut cloud) = (planner(9), Cloud::default());
    let stale = first.handle(Stamp(0), FleetEvent::Tick);
    let wanted: Vec<_> = first.plan().slots.values().cloned().collect();
    for slot in &wanted[..2] {
        first.handle(Stamp(0), FleetEvent::Refused(slot.id));
    }
    run_tick(&mut first, &mut cloud, Stamp::from_millis(3_000));
    for action in stale {
        let FleetAction::Buy(slot) = action else { continue };
        cloud.buy(slot.token(), &slot.place);
    }
    let known = first.plan().slots.values().filter(|slot| slot.state.vm().is_some()).count();
    assert_eq!(cloud.tokens.len() - known, 2);

    let listed: Vec<VmName> = cloud.tokens.values().cloned().collect();
    let early = first.handle(Stamp::from_millis(10_000), FleetEvent::Listed(listed.clone()));
    assert_eq!(early, []);
    let late = first.handle(Stamp::from_millis(140_000), FleetEvent::Listed(listed));
    assert_eq!(late.len(), 2);
    assert!(late.iter().all(|action| matches!(action, FleetAction::ReleaseOrphan(_))));
}

// The need falls for a short time, as between two bursts. If engines were released at once, the
// next burst would meet cold ones.
#[test]
fn short_dip_keeps_engines() {
    let (mut planner, mut cloud) = (planner(9), Cloud::default());
    run_tick(&mut planner, &mut cloud, Stamp(0));
    let drained = |planner: &mut FleetPlanner, cloud: &mut Cloud, seconds: u64| {
        let now = Stamp::from_millis(seconds * 1_000);
        planner.handle(now, FleetEvent::Need(service(), 3));
        run_tick(planner, cloud, now).len()
    };
    assert_eq!(drained(&mut planner, &mut cloud, 10), 0);
    assert_eq!(drained(&mut planner, &mut cloud, 100), 0);
    assert_eq!(drained(&mut planner, &mut cloud, 131), 8);
    let serving = planner.plan().slots.values().filter(|slot| slot.state.is_active()).count();
    assert_eq!(serving, 4);
}

#[test]
fn leaving_vm_stays_leaving() {
    let (mut planner, mut cloud) = (planner(3), Cloud::default());
    run_tick(&mut planner, &mut cloud, Stamp(0));
    let Some(vm) = planner.plan().slots.values().find_map(|slot| slot.state.vm().cloned()) else {
        panic!("nothing bought")
    };
    planner.handle(Stamp(1), FleetEvent::Leaving(vm.clone()));
    planner.handle(Stamp(2), FleetEvent::Ready(vm.clone()));
    let slot = planner.plan().find(&vm).expect("still known");
    assert_eq!(slot.state, SlotState::Leaving(vm));
}

#[test]
fn largest_shortfall_loads() {
    let shortfall = |name: &str, needed, present, cold| Shortfall {
        service: ServiceName::new(name).expect("a valid name"),
        needed,
        present,
        cold,
    };
    let all = [
        shortfall("large", 12, 9, 3),
        shortfall("small", 2, 1, 1),
        shortfall("whole", 4, 4, 1),
        shortfall("none", 4, 0, 0),
    ];
    assert_eq!(next_to_load(&all).map(ServiceName::as_str), Some("small"));
}
