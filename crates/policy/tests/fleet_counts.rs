//! Orders for engines: starts, reclaims of a zone, times without any for sale, falling demand.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Stamp, ZoneName};
use bulrushhall_policy::fleet_counts::{
    CountLimits, CountMarket, CountOrder, CountPlanner, SizingRule, ZoneServers,
};

const START: u64 = 4_000;
const STEP: u64 = 200;

fn zones() -> Vec<ZoneName> {
    ["a", "b", "c", "d"].into_iter().map(|zone| ZoneName::new(zone).expect("a name")).collect()
}

fn limits() -> CountLimits {
    CountLimits {
        min: 1,
        max: 6,
        start: Duration::from_millis(START),
        reclaimable_price: Some(0.15),
        zones: zones().into_iter().zip([1.0, 0.8, 1.25, 0.9]).collect(),
    }
}

/// A cloud that carries out orders after the time of a start.
#[derive(Default)]
struct World {
    planner: CountPlanner,
    seen: BTreeMap<ZoneName, ZoneServers>,
    starting: Vec<(u64, CountOrder)>,
    sold_out_until: u64,
    now: u64,
    orders: usize,
}

impl World {
    fn with_on_demand(each: u32) -> World {
        let of_zone = ZoneServers { on_demand: each, ..ZoneServers::default() };
        let seen = zones().into_iter().map(|zone| (zone, of_zone));
        World { seen: seen.collect(), ..World::default() }
    }

    fn run(&mut self, millis: u64, busy: f64) {
        let until = self.now + millis;
        while self.now < until {
            self.now += STEP;
            let now = Stamp::from_millis(self.now);
            for order in self.planner.plan(now, &limits(), busy, &self.seen) {
                self.orders += 1;
                let reclaimable = order.market == CountMarket::Reclaimable;
                if reclaimable && self.now < self.sold_out_until {
                    self.planner.refused(now, &order);
                    continue;
                }
                self.starting.push((self.now + START, order));
            }
            let (ready, starting) = self.starting.drain(..).partition(|(at, _)| *at <= self.now);
            self.starting = starting;
            let ready: Vec<(u64, CountOrder)> = ready;
            for (_, order) in ready {
                let seen = self.seen.entry(order.zone).or_default();
                match order.market {
                    CountMarket::Reclaimable => seen.reclaimable = order.count,
                    CountMarket::OnDemand => seen.on_demand = order.count,
                }
            }
        }
    }

    fn total(&self, market: CountMarket) -> u32 {
        let of = |seen: &ZoneServers| match market {
            CountMarket::Reclaimable => seen.reclaimable,
            CountMarket::OnDemand => seen.on_demand,
        };
        self.seen.values().map(of).sum()
    }
}

// Engines register one after the other when all start at once. Planned from the first two, the rest was
// given back, and the first callers met two engines.
#[test]
fn slow_start() {
    let mut world = World::default();
    for zone in zones() {
        world.run(600, 0.0);
        world.seen.insert(zone, ZoneServers { on_demand: 3, ..ZoneServers::default() });
    }
    world.run(30_000, 0.0);
    assert!(12 <= world.total(CountMarket::Reclaimable));
    assert_eq!(world.total(CountMarket::OnDemand), 0);
}

// A zone is reclaimed and none are sold for a while. On-demand engines must stand in for what is
// missing, and go again once the others are back.
#[test]
fn reclaimed_zone() {
    let mut world = World::with_on_demand(3);
    // Nine engines for a demand of five, so that what is missing can be counted.
    let staffing =
        SizingRule { used_most: 0.56, spread: 0.0, kept_starts: 4.0, ..SizingRule::default() };
    world.planner = CountPlanner::new(staffing);
    world.run(30_000, 5.0);
    let before = world.total(CountMarket::Reclaimable);
    assert_eq!(world.total(CountMarket::OnDemand), 0);
    world.sold_out_until = world.now + 13_000;
    for zone in zones().into_iter().take(2) {
        world.seen.entry(zone).or_default().reclaimable = 0;
    }
    world.run(6_000, 5.0);
    let there = world.total(CountMarket::Reclaimable) + world.total(CountMarket::OnDemand);
    assert!(9 <= there, "{there}");
    // The next zone goes while still none are sold. What it takes must have been replaced before.
    world.run(2_000, 5.0);
    world.seen.entry(zones().remove(2)).or_default().reclaimable = 0;
    let there = world.total(CountMarket::Reclaimable) + world.total(CountMarket::OnDemand);
    assert!(9 <= there, "{there}");
    world.run(30_000, 5.0);
    assert_eq!(world.total(CountMarket::Reclaimable), before);
    assert_eq!(world.total(CountMarket::OnDemand), 0);
}

// Demand swings in waves. Orders must not follow each of them: an engine takes seconds to start and has
// to read all prompts anew.
#[test]
fn waves_of_demand() {
    let mut world = World::with_on_demand(3);
    world.run(20_000, 5.0);
    world.orders = 0;
    for wave in 0..6 {
        world.run(5_000, if wave % 2 == 0 { 4.0 } else { 5.0 });
    }
    assert!(world.orders <= 4, "{} orders", world.orders);
}

#[test]
fn falling_demand() {
    let mut world = World::with_on_demand(3);
    world.run(20_000, 5.0);
    world.run(120_000, 1.0);
    assert!(world.total(CountMarket::Reclaimable) <= 8);
}

#[test]
fn within_limits() {
    let mut world = World::with_on_demand(3);
    world.run(40_000, 50.0);
    for seen in world.seen.values() {
        assert!(seen.reclaimable + seen.on_demand <= 6, "{seen:?}");
    }
}

fn only(of_zone: ZoneServers) -> BTreeMap<ZoneName, ZoneServers> {
    zones().into_iter().map(|zone| (zone, of_zone)).collect()
}

fn ordered(orders: &[CountOrder], market: CountMarket) -> u32 {
    orders.iter().filter(|order| order.market == market).map(|order| order.count).sum()
}

// Nodes are stopped in turn, so the duty goes from one to the next. Each took what the one before had
// ordered, reserve included, for what is needed and put a reserve on top: 22 engines became 40, and the
// users paid for them.
#[test]
fn changed_holders() {
    let mut world = World::with_on_demand(3);
    world.run(30_000, 4.0);
    let first = world.total(CountMarket::Reclaimable);
    for _ in 0..4 {
        world.planner = CountPlanner::new(SizingRule::default());
        world.run(5_000, 4.0);
    }
    assert!(world.total(CountMarket::Reclaimable) <= first + 1);
    assert_eq!(world.total(CountMarket::OnDemand), 0);
}

// The demand is between two bursts when the holder of the duty dies. A successor that only knew the
// demand of that moment gave engines back, and callers of the next burst waited for a start.
#[test]
fn known_peak() {
    let staffing = SizingRule { used_most: 0.95, kept_starts: 4.0, ..SizingRule::default() };
    let mut planner = CountPlanner::new(staffing);
    let mut seen = only(ZoneServers { reclaimable: 4, ..ZoneServers::default() });
    // What a demand of nine needs, with the dearest zone one short of the others.
    seen.insert(zones().remove(2), ZoneServers { reclaimable: 3, ..ZoneServers::default() });
    for second in 0..40 {
        let busy = if second < 30 { 9.0 } else { 2.0 };
        planner.observe(Stamp::from_millis(second * 1_000), &limits(), busy, &seen);
    }
    let orders = planner.plan(Stamp::from_millis(40_000), &limits(), 2.0, &seen);
    assert_eq!(orders, []);
}

// A zone was just taken back, and the demand falls a little. Reclaimable engines that are given back now
// can't be bought again, and on-demand ones at several times the price take their place.
#[test]
fn nothing_given_back() {
    let mut planner = CountPlanner::new(SizingRule::default());
    let mut seen = only(ZoneServers { reclaimable: 5, ..ZoneServers::default() });
    for second in 0..40 {
        planner.observe(Stamp::from_millis(second * 1_000), &limits(), 2.0, &seen);
    }
    let taken = ZoneServers { leaving: 5, ..ZoneServers::default() };
    seen.insert(zones().remove(0), taken);
    let orders = planner.plan(Stamp::from_millis(40_000), &limits(), 2.0, &seen);
    let lowered = orders.iter().find(|order| order.zone != zones()[0]);
    assert_eq!(lowered, None, "engines are given back while the next zone may go");
}

// The platform counts engines that leave, so an order for as many is taken and starts none. The plan
// believed that they were coming, ordered nothing else, and four engines were left for the work of ten.
#[test]
fn leaving_counted() {
    let mut planner = CountPlanner::new(SizingRule::default());
    let seen = only(ZoneServers { leaving: 4, ..ZoneServers::default() });
    let mut on_demand = 0;
    for step in 0..10 {
        let orders = planner.plan(Stamp::from_millis(40_000 + step * STEP), &limits(), 6.0, &seen);
        on_demand = on_demand.max(ordered(&orders, CountMarket::OnDemand));
    }
    assert!(6 <= on_demand, "{on_demand} stand in for a demand of 6 engines");
}
