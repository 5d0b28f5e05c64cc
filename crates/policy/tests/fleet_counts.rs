//! Orders for engine counts under startup, zone reclaims, unavailable capacity and falling demand.

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

/// A simulated cloud that fulfills orders after the startup time.
#[derive(Default)]
struct Cloud {
    planner: CountPlanner,
    servers: BTreeMap<ZoneName, ZoneServers>,
    starting: Vec<(u64, CountOrder)>,
    unavailable_until: u64,
    now: u64,
    orders: usize,
}

impl Cloud {
    fn with_on_demand(each: u32) -> Cloud {
        let in_zone = ZoneServers { on_demand: each, ..ZoneServers::default() };
        let servers = zones().into_iter().map(|zone| (zone, in_zone));
        Cloud { servers: servers.collect(), ..Cloud::default() }
    }

    fn run(&mut self, millis: u64, busy: f64) {
        let until = self.now + millis;
        while self.now < until {
            self.now += STEP;
            let now = Stamp::from_millis(self.now);
            for order in self.planner.plan(now, &limits(), busy, &self.servers) {
                self.orders += 1;
                let reclaimable = order.market == CountMarket::Reclaimable;
                if reclaimable && self.now < self.unavailable_until {
                    self.planner.refused(now, &order);
                    continue;
                }
                self.starting.push((self.now + START, order));
            }
            let (ready, starting) = self.starting.drain(..).partition(|(at, _)| *at <= self.now);
            self.starting = starting;
            let ready: Vec<(u64, CountOrder)> = ready;
            for (_, order) in ready {
                let servers = self.servers.entry(order.zone).or_default();
                match order.market {
                    CountMarket::Reclaimable => servers.reclaimable = order.count,
                    CountMarket::OnDemand => servers.on_demand = order.count,
                }
            }
        }
    }

    fn total(&self, market: CountMarket) -> u32 {
        let of = |servers: &ZoneServers| match market {
            CountMarket::Reclaimable => servers.reclaimable,
            CountMarket::OnDemand => servers.on_demand,
        };
        self.servers.values().map(of).sum()
    }
}

// Engines that start together register one after the other. A plan based on the first few would
// release the others, and the first callers would find only those few engines.
#[test]
fn slow_start() {
    let mut cloud = Cloud::default();
    for zone in zones() {
        cloud.run(600, 0.0);
        cloud.servers.insert(zone, ZoneServers { on_demand: 3, ..ZoneServers::default() });
    }
    cloud.run(30_000, 0.0);
    assert!(12 <= cloud.total(CountMarket::Reclaimable));
    assert_eq!(cloud.total(CountMarket::OnDemand), 0);
}

// Zones are reclaimed and no reclaimable engines are available for a while. On-demand engines must
// replace the missing ones and be released once reclaimable ones are back.
#[test]
fn reclaimed_zone() {
    let mut cloud = Cloud::with_on_demand(3);
    // Nine engines for a demand of five, so that missing ones can be counted.
    let sizing_rule =
        SizingRule { used_most: 0.56, spread: 0.0, kept_starts: 4.0, ..SizingRule::default() };
    cloud.planner = CountPlanner::new(sizing_rule);
    cloud.run(30_000, 5.0);
    let before = cloud.total(CountMarket::Reclaimable);
    assert_eq!(cloud.total(CountMarket::OnDemand), 0);
    cloud.unavailable_until = cloud.now + 13_000;
    for zone in zones().into_iter().take(2) {
        cloud.servers.entry(zone).or_default().reclaimable = 0;
    }
    cloud.run(6_000, 5.0);
    let present = cloud.total(CountMarket::Reclaimable) + cloud.total(CountMarket::OnDemand);
    assert!(9 <= present, "{present}");
    // Another zone is reclaimed while none are available. Its engines must have been replaced in
    // advance.
    cloud.run(2_000, 5.0);
    cloud.servers.entry(zones().remove(2)).or_default().reclaimable = 0;
    let present = cloud.total(CountMarket::Reclaimable) + cloud.total(CountMarket::OnDemand);
    assert!(9 <= present, "{present}");
    cloud.run(30_000, 5.0);
    assert_eq!(cloud.total(CountMarket::Reclaimable), before);
    assert_eq!(cloud.total(CountMarket::OnDemand), 0);
}

// The demand fluctuates. Orders must not follow every wave, since an engine takes seconds to start
// and begins with an empty prefix cache.
#[test]
fn waves_of_demand() {
    let mut cloud = Cloud::with_on_demand(3);
    cloud.run(20_000, 5.0);
    cloud.orders = 0;
    for wave in 0..6 {
        cloud.run(5_000, if wave % 2 == 0 { 4.0 } else { 5.0 });
    }
    assert!(cloud.orders <= 4, "{} orders", cloud.orders);
}

#[test]
fn falling_demand() {
    let mut cloud = Cloud::with_on_demand(3);
    cloud.run(20_000, 5.0);
    cloud.run(120_000, 1.0);
    assert!(cloud.total(CountMarket::Reclaimable) <= 8);
}

#[test]
fn within_limits() {
    let mut cloud = Cloud::with_on_demand(3);
    cloud.run(40_000, 50.0);
    for servers in cloud.servers.values() {
        assert!(servers.reclaimable + servers.on_demand <= 6, "{servers:?}");
    }
}

fn in_all_zones(in_zone: ZoneServers) -> BTreeMap<ZoneName, ZoneServers> {
    zones().into_iter().map(|zone| (zone, in_zone)).collect()
}

fn total_ordered(orders: &[CountOrder], market: CountMarket) -> u32 {
    orders.iter().filter(|order| order.market == market).map(|order| order.count).sum()
}

// Nodes restart in turn, so the duty passes from one to the next. A new holder must not take the
// present engines, which include the reserve, as the need and add another reserve: 22 engines would
// grow to 40.
#[test]
fn duty_changes() {
    let mut cloud = Cloud::with_on_demand(3);
    cloud.run(30_000, 4.0);
    let first = cloud.total(CountMarket::Reclaimable);
    for _ in 0..4 {
        cloud.planner = CountPlanner::new(SizingRule::default());
        cloud.run(5_000, 4.0);
    }
    assert!(cloud.total(CountMarket::Reclaimable) <= first + 1);
    assert_eq!(cloud.total(CountMarket::OnDemand), 0);
}

// The holder of the duty fails between two bursts. A successor that only knows the current demand
// would release engines, and callers of the next burst would wait for new ones to start.
#[test]
fn observed_peak() {
    let sizing_rule = SizingRule { used_most: 0.95, kept_starts: 4.0, ..SizingRule::default() };
    let mut planner = CountPlanner::new(sizing_rule);
    let mut servers = in_all_zones(ZoneServers { reclaimable: 4, ..ZoneServers::default() });
    // The engines for a demand of nine, with one fewer in the most expensive zone.
    servers.insert(zones().remove(2), ZoneServers { reclaimable: 3, ..ZoneServers::default() });
    for second in 0..40 {
        let busy = if second < 30 { 9.0 } else { 2.0 };
        planner.observe(Stamp::from_millis(second * 1_000), &limits(), busy, &servers);
    }
    let orders = planner.plan(Stamp::from_millis(40_000), &limits(), 2.0, &servers);
    assert_eq!(orders, []);
}

// A zone was just reclaimed, and the demand falls a little. Reclaimable engines that are released
// now can't be bought again and would be replaced by on-demand ones at several times the price.
#[test]
fn nothing_released_when_scarce() {
    let mut planner = CountPlanner::new(SizingRule::default());
    let mut servers = in_all_zones(ZoneServers { reclaimable: 5, ..ZoneServers::default() });
    for second in 0..40 {
        planner.observe(Stamp::from_millis(second * 1_000), &limits(), 2.0, &servers);
    }
    let reclaimed = ZoneServers { leaving: 5, ..ZoneServers::default() };
    servers.insert(zones().remove(0), reclaimed);
    let orders = planner.plan(Stamp::from_millis(40_000), &limits(), 2.0, &servers);
    let reduced = orders.iter().find(|order| order.zone != zones()[0]);
    assert_eq!(reduced, None, "engines are released while the next zone may be reclaimed");
}

// The platform still counts engines that are leaving, so an order for the same number starts none.
// A plan that expects them to start would order nothing else, and four engines would remain for the
// work of ten.
#[test]
fn leaving_still_counted() {
    let mut planner = CountPlanner::new(SizingRule::default());
    let servers = in_all_zones(ZoneServers { leaving: 4, ..ZoneServers::default() });
    let mut on_demand = 0;
    for step in 0..10 {
        let orders =
            planner.plan(Stamp::from_millis(40_000 + step * STEP), &limits(), 6.0, &servers);
        on_demand = on_demand.max(total_ordered(&orders, CountMarket::OnDemand));
    }
    assert!(6 <= on_demand, "{on_demand} on-demand engines for a demand of 6 engines");
}
