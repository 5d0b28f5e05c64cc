//! The planner that derives orders from the demand.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Stamp, ZoneName};

use crate::fleet_counts::{
    CountLimits, CountMarket, CountOrder, SizingRule, ZoneServers, recent_peak::RecentPeak,
    sizing_rule::START_SLACK,
};

/// How long no order is placed in a zone and market after a refusal.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(900);
/// How long after a reclaim another one is expected, in engine startup times: zones are mostly
/// reclaimed one after the other, and a new holder of the duty does not know yet that none are
/// available.
const SCARCITY_STARTS: f64 = 2.5;
/// How long enough engines must have been present before on-demand ones are released.
const RELEASE_DELAY: Duration = Duration::from_millis(500);

/// How long the number of on-demand servers must be constant before the first plan without demand:
/// longer than the time between the registrations of two servers.
const STABLE_COUNT_TIME: Duration = Duration::from_millis(1_500);
/// The minimum number of busy engines that counts as demand.
const MIN_BUSY: f64 = 0.5;

/// A `CountPlanner` plans the orders of one service.
///
/// Reclaimable servers are ordered with a reserve, since after a reclaim none are usually available
/// for some time. On-demand servers only replace those that are missing then.
#[derive(Clone, Debug, Default)]
pub struct CountPlanner {
    sizing_rule: SizingRule,
    orders: BTreeMap<(ZoneName, CountMarket), LastOrder>,
    /// The number of reclaimable servers without the reserve, or of on-demand ones if there are
    /// more, when this node took over the duty. It is a lower bound of the need until the demand has
    /// been observed for long enough.
    initial_servers: Option<f64>,
    demand_since: Option<Stamp>,
    reclaimable_peak: RecentPeak,
    on_demand_peak: RecentPeak,
    needed: Option<f64>,
    last_count: u32,
    last_count_change: Stamp,
    enough_since: Option<Stamp>,
    reclaimed_at: Option<Stamp>,
}

#[derive(Clone, Copy, Debug)]
struct LastOrder {
    count: u32,
    ordered_at: Stamp,
    refused_until: Option<Stamp>,
    /// The maximum number of servers that were present since.
    max_present: u32,
    /// The number of servers that were leaving when the order was placed.
    leaving: u32,
}

/// The number of engines that are needed.
#[derive(Clone, Copy, Debug, Default)]
struct EngineNeed {
    /// For the peak demand that may return, met by reclaimable engines.
    reclaimable: f64,
    /// For the demand of the last seconds, met at any price.
    immediate: f64,
}

/// The inputs of one plan.
struct PlanInput<'a> {
    now: Stamp,
    limits: &'a CountLimits,
    servers: &'a BTreeMap<ZoneName, ZoneServers>,
}

impl CountPlanner {
    /// Returns a planner without observations.
    pub fn new(sizing_rule: SizingRule) -> CountPlanner {
        CountPlanner { sizing_rule, ..CountPlanner::default() }
    }

    /// Records the demand at a node that does not hold the duty.
    ///
    /// A node that takes over the duty then knows the recent peak demand, so it neither releases
    /// engines before the demand returns nor keeps all present ones. Its own earlier orders may
    /// have been replaced, so they are discarded.
    pub fn observe(
        &mut self,
        now: Stamp,
        limits: &CountLimits,
        busy: f64,
        servers: &BTreeMap<ZoneName, ZoneServers>,
    ) {
        self.orders.clear();
        self.initial_servers = None;
        self.record_demand(now, limits, busy);
        self.record_reclaims(now, servers);
    }

    /// Returns the orders to place now.
    ///
    /// `busy` is the demand, as the number of engines that it fully utilizes.
    pub fn plan(
        &mut self,
        now: Stamp,
        limits: &CountLimits,
        busy: f64,
        servers: &BTreeMap<ZoneName, ZoneServers>,
    ) -> Vec<CountOrder> {
        let input = PlanInput { now, limits, servers };
        self.record_reclaims(now, servers);
        if !self.is_count_stable(&input, busy) {
            return self.initial_orders(&input);
        }
        let EngineNeed { reclaimable, immediate } = self.engine_need(&input, busy);
        let reclaimable = self.reclaimable_targets(&input, reclaimable);
        let on_demand = self.on_demand_targets(&input, immediate, &reclaimable);
        let mut orders = Vec::new();
        for zone in limits.zones.keys() {
            let on_demand_count = on_demand.get(zone).copied().unwrap_or(0);
            let count = reclaimable.get(zone).copied().unwrap_or(0);
            let count = count.min(limits.max.saturating_sub(on_demand_count));
            self.order(&input, zone, CountMarket::Reclaimable, count, &mut orders);
            self.order(&input, zone, CountMarket::OnDemand, on_demand_count, &mut orders);
        }
        orders
    }

    /// Returns the planned number of engines, without the reserve.
    pub fn planned_for(&self) -> f64 {
        self.needed.unwrap_or(0.0)
    }

    /// Records that an order was refused, so no servers are available in its zone and market for now.
    pub fn refused(&mut self, now: Stamp, order: &CountOrder) {
        let key = (order.zone.clone(), order.market);
        let Some(last_order) = self.orders.get_mut(&key) else { return };
        last_order.refused_until = Some(now + REFUSAL_BACKOFF);
    }

    // While the number of servers is not known yet, orders half of the maximum as reclaimable
    // servers. On-demand ones can then be released one startup time earlier; the first plan
    // corrects any excess.
    fn initial_orders(&mut self, input: &PlanInput<'_>) -> Vec<CountOrder> {
        let mut orders = Vec::new();
        let limits = input.limits;
        if limits.reclaimable_price.is_none() {
            return orders;
        }
        for zone in limits.zones.keys() {
            let count = (limits.max / 2).max(limits.min);
            self.order(input, zone, CountMarket::Reclaimable, count, &mut orders);
        }
        orders
    }

    // Servers that start together register one after the other. A plan based on the first few would
    // release the others just before the first requests arrive.
    fn is_count_stable(&mut self, input: &PlanInput<'_>, busy: f64) -> bool {
        if self.needed.is_some() || MIN_BUSY < busy {
            return true;
        }
        let present: u32 = input.servers.values().map(|servers| servers.on_demand).sum();
        if present != self.last_count {
            self.last_count = present;
            self.last_count_change = input.now;
        }
        0 < present && STABLE_COUNT_TIME <= input.now.since(self.last_count_change)
    }

    // The servers that are present when the duty begins were chosen by the operators or by the
    // previous holder. Their number is not reduced before the demand has been observed for long
    // enough.
    fn engine_need(&mut self, input: &PlanInput<'_>, busy: f64) -> EngineNeed {
        let PlanInput { now, limits, servers } = input;
        let mut need = self.record_demand(*now, limits, busy);
        let present =
            |of: fn(&ZoneServers) -> u32| f64::from(servers.values().map(of).sum::<u32>());
        // Reclaimable servers were ordered with the reserve. Without this division, each new holder
        // would add another reserve.
        let reclaimable = present(|servers| servers.reclaimable) / limits.reserve_factor();
        let initial_servers = *self
            .initial_servers
            .get_or_insert(reclaimable.max(present(|servers| servers.on_demand)));
        let observed_for = self.demand_since.map_or(Duration::ZERO, |since| now.since(since));
        if observed_for < self.sizing_rule.reclaimable_window(limits.start) {
            need.reclaimable = need.reclaimable.max(initial_servers);
        }
        if observed_for < self.sizing_rule.on_demand_window(limits.start) {
            need.immediate = need.immediate.max(initial_servers);
        }
        self.needed = Some(need.immediate);
        EngineNeed { reclaimable: need.reclaimable.max(1.0), immediate: need.immediate.max(1.0) }
    }

    fn record_demand(&mut self, now: Stamp, limits: &CountLimits, busy: f64) -> EngineNeed {
        if MIN_BUSY < busy {
            self.demand_since.get_or_insert(now);
        }
        let engines = self.sizing_rule.engines(busy);
        let reclaimable = self.reclaimable_peak.add(
            now,
            self.sizing_rule.reclaimable_window(limits.start),
            engines,
        );
        let on_demand_window = self.sizing_rule.on_demand_window(limits.start);
        EngineNeed {
            reclaimable,
            immediate: self.on_demand_peak.add(now, on_demand_window, engines),
        }
    }

    fn reclaimable_targets(&self, input: &PlanInput<'_>, needed: f64) -> BTreeMap<ZoneName, u32> {
        let limits = input.limits;
        let mut targets = BTreeMap::new();
        if limits.reclaimable_price.is_none() {
            return targets;
        }
        let zones = limits.zones.len().max(1) as u32;
        let total = (needed * limits.reserve_factor()).ceil() as u32;
        let (per_zone, mut remainder) = (total / zones, total % zones);
        for zone in by_price(limits) {
            let extra = remainder.min(1);
            remainder -= extra;
            targets.insert(zone.clone(), (per_zone + extra).max(limits.min).min(limits.max));
        }
        // Reclaimable servers released while no new ones are available would be replaced by far more
        // expensive on-demand ones.
        if self.is_scarce(input) {
            for (zone, target) in &mut targets {
                let present = input.servers.get(zone).map_or(0, |servers| servers.reclaimable);
                *target = (*target).max(present);
            }
        }
        targets
    }

    fn on_demand_targets(
        &mut self,
        input: &PlanInput<'_>,
        needed: f64,
        reclaimable: &BTreeMap<ZoneName, u32>,
    ) -> BTreeMap<ZoneName, u32> {
        let PlanInput { now, limits, servers } = input;
        let present: u32 = servers.values().map(|servers| servers.reclaimable).sum();
        let starting: u32 = limits.zones.keys().map(|zone| self.starting(input, zone)).sum();
        // Several zones are usually reclaimed one after the other. While none are available, the
        // servers that the next reclaim would take are replaced in advance, since an on-demand
        // server also takes seconds to start.
        let at_risk = servers.values().map(|servers| servers.reclaimable).max().unwrap_or(0);
        let at_risk = if self.is_scarce(input) { at_risk } else { 0 };
        let missing = (needed.ceil() as u32).saturating_sub(present + starting - at_risk);
        let on_demand: u32 = servers.values().map(|servers| servers.on_demand).sum();
        let enough = needed <= f64::from(present + on_demand.min(missing));
        let since = enough.then(|| self.enough_since.unwrap_or(*now));
        self.enough_since = since;
        let may_release = since.is_some_and(|since| RELEASE_DELAY <= now.since(since));
        let mut wanted = if may_release { missing } else { missing.max(on_demand) };

        let mut targets = BTreeMap::new();
        // Present servers are kept first: new ones would only be ready when they are no longer
        // needed.
        for zone in by_price(limits) {
            let in_zone = servers.get(zone).copied().unwrap_or_default();
            let below_min = limits.min.saturating_sub(in_zone.reclaimable);
            let kept = in_zone.on_demand.min(wanted.max(below_min));
            targets.insert(zone.clone(), kept);
            wanted = wanted.saturating_sub(kept);
        }
        for zone in by_price(limits) {
            let in_zone = servers.get(zone).copied().unwrap_or_default();
            let planned = reclaimable.get(zone).copied().unwrap_or(0);
            let used = in_zone.reclaimable + self.starting(input, zone).min(planned);
            let target = targets.entry(zone.clone()).or_default();
            let added = wanted.min(limits.max.saturating_sub(used + *target));
            *target += added;
            wanted -= added;
        }
        targets
    }

    // The platform reclaims all reclaimable servers of a zone at once, whereas a plan reduces them
    // gradually.
    fn record_reclaims(&mut self, now: Stamp, servers: &BTreeMap<ZoneName, ZoneServers>) {
        if servers.values().any(|servers| servers.reclaimable == 0 && 0 < servers.leaving) {
            self.reclaimed_at = Some(now);
        }
    }

    // Returns whether another zone may be reclaimed soon and its servers can't be replaced by
    // reclaimable ones.
    fn is_scarce(&self, input: &PlanInput<'_>) -> bool {
        let PlanInput { now, limits, .. } = input;
        let mut refused = self.orders.values().filter_map(|last_order| last_order.refused_until);
        let scarcity = limits.start.mul_f64(SCARCITY_STARTS);
        refused.any(|until| *now < until + REFUSAL_BACKOFF)
            || self.reclaimed_at.is_some_and(|at| now.since(at) < scarcity)
    }

    // Returns the number of reclaimable servers of a zone that are ordered and should become ready
    // in time.
    fn starting(&self, input: &PlanInput<'_>, zone: &ZoneName) -> u32 {
        let key = (zone.clone(), CountMarket::Reclaimable);
        let Some(last_order) = self.orders.get(&key) else { return 0 };
        let is_late = input.limits.start + START_SLACK <= input.now.since(last_order.ordered_at);
        if is_late || last_order.refused_until.is_some() {
            return 0;
        }
        // The platform still counts leaving servers, so an order that only makes up for them starts
        // none.
        let counted =
            input.servers.get(zone).map_or(0, |servers| servers.reclaimable + servers.leaving);
        last_order.count.saturating_sub(counted)
    }

    fn order(
        &mut self,
        input: &PlanInput<'_>,
        zone: &ZoneName,
        market: CountMarket,
        count: u32,
        orders: &mut Vec<CountOrder>,
    ) {
        let in_zone = input.servers.get(zone).copied().unwrap_or_default();
        let (present, leaving) = match market {
            CountMarket::Reclaimable => (in_zone.reclaimable, in_zone.leaving),
            CountMarket::OnDemand => (in_zone.on_demand, 0),
        };
        let key = (zone.clone(), market);
        if !self.is_due(input, &key, count, (present, leaving)) {
            return;
        }
        let (ordered_at, max_present) = (input.now, present);
        let last_order = LastOrder { count, ordered_at, refused_until: None, max_present, leaving };
        self.orders.insert(key, last_order);
        orders.push(CountOrder { zone: zone.clone(), market, count });
    }

    fn is_due(
        &mut self,
        input: &PlanInput<'_>,
        key: &(ZoneName, CountMarket),
        count: u32,
        (present, leaving): (u32, u32),
    ) -> bool {
        let Some(last_order) = self.orders.get_mut(key) else {
            // A new holder places no orders for servers that are present already.
            return count != present;
        };
        if let Some(until) = last_order.refused_until {
            return until <= input.now && (count != present || last_order.count != count);
        }
        // The same count is ordered again when a reclaim took servers that were ordered, and when
        // the order was not fulfilled in time.
        last_order.max_present = last_order.max_present.max(present);
        let is_reclaimed = present < last_order.max_present.min(count);
        // The platform counted the servers that have left since as present when the order was
        // placed.
        let has_left = present < count && leaving < last_order.leaving;
        let is_late = present < count
            && input.limits.start + START_SLACK <= input.now.since(last_order.ordered_at);
        last_order.count != count || is_reclaimed || has_left || is_late
    }
}

fn by_price(limits: &CountLimits) -> Vec<&ZoneName> {
    let mut zones: Vec<_> = limits.zones.iter().collect();
    zones.sort_by(|one, other| one.1.total_cmp(other.1).then(one.0.cmp(other.0)));
    zones.into_iter().map(|(zone, _)| zone).collect()
}
