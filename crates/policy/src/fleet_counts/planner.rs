//! The orders that a demand asks for.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Stamp, ZoneName};

use crate::fleet_counts::{
    CountLimits, CountMarket, CountOrder, SizingRule, ZoneServers, recent_peak::RecentPeak,
    sizing_rule::START_SLACK,
};

/// How long a zone that refused an order is left alone.
const REFUSED_PAUSE: Duration = Duration::from_millis(900);
/// How many starts of an engine after a reclaim the next one is expected: zones are mostly taken one
/// after the other, and a holder that has just taken over does not know yet that none are sold.
const SCARCE_STARTS: f64 = 2.5;
/// How long enough engines must have been there before on-demand ones are given back.
const STEADY_FOR: Duration = Duration::from_millis(500);

/// How long no further server must have come before the first plan without any demand: longer than
/// the time between two that register one after the other.
const SETTLED_AFTER: Duration = Duration::from_millis(1_500);
/// The demand, in busy engines, from which it is taken as seen.
const BUSY_LEAST: f64 = 0.5;

/// A `CountPlanner` decides the orders of one service.
///
/// Reclaimable servers are bought in reserve, since a reclaim mostly comes with a time in which none
/// are sold. On-demand ones stand in only for what is missing then.
#[derive(Clone, Debug, Default)]
pub struct CountPlanner {
    staffing: SizingRule,
    ordered: BTreeMap<(ZoneName, CountMarket), Ordered>,
    /// The servers that were there when the duty began, until the demand was seen for long enough.
    found: Option<f64>,
    demand_since: Option<Stamp>,
    peak: RecentPeak,
    stand_in_peak: RecentPeak,
    needed: Option<f64>,
    counted: u32,
    counted_at: Stamp,
    enough_since: Option<Stamp>,
    reclaimed_at: Option<Stamp>,
}

#[derive(Clone, Copy, Debug)]
struct Ordered {
    count: u32,
    at: Stamp,
    refused_until: Option<Stamp>,
    /// The most that were there since.
    most_seen: u32,
    /// Those that were leaving when it was given.
    leaving: u32,
}

/// How many engines are needed.
#[derive(Clone, Copy, Debug, Default)]
struct Needed {
    /// For the highest demand that may return, in reclaimable ones.
    kept: f64,
    /// For the demand of the last seconds, whatever they cost.
    at_once: f64,
}

/// What one plan is made from.
struct Situation<'a> {
    now: Stamp,
    limits: &'a CountLimits,
    seen: &'a BTreeMap<ZoneName, ZoneServers>,
}

impl CountPlanner {
    /// Returns a planner that has seen nothing.
    pub fn new(staffing: SizingRule) -> CountPlanner {
        CountPlanner { staffing, ..CountPlanner::default() }
    }

    /// Notes the demand at a node that does not hold the duty.
    ///
    /// A node that takes the duty over knows the highest demand of the last seconds, so it neither gives
    /// engines back before the demand returns nor keeps all that it finds. What it ordered before is
    /// not known to be in force any more.
    pub fn observe(
        &mut self,
        now: Stamp,
        limits: &CountLimits,
        busy: f64,
        seen: &BTreeMap<ZoneName, ZoneServers>,
    ) {
        self.ordered.clear();
        self.found = None;
        self.note_demand(now, limits, busy);
        self.note_reclaims(now, seen);
    }

    /// Returns the orders to give now.
    ///
    /// `busy` is the demand: the engines that would be busy all the time with it.
    pub fn plan(
        &mut self,
        now: Stamp,
        limits: &CountLimits,
        busy: f64,
        seen: &BTreeMap<ZoneName, ZoneServers>,
    ) -> Vec<CountOrder> {
        let situation = Situation { now, limits, seen };
        self.note_reclaims(now, seen);
        if !self.is_settled(&situation, busy) {
            return self.first_orders(&situation);
        }
        let Needed { kept, at_once } = self.needed(&situation, busy);
        let reclaimable = self.reclaimable_targets(&situation, kept);
        let on_demand = self.on_demand_targets(&situation, at_once, &reclaimable);
        let mut orders = Vec::new();
        for zone in limits.zones.keys() {
            let kept = on_demand.get(zone).copied().unwrap_or(0);
            let planned = reclaimable.get(zone).copied().unwrap_or(0);
            let planned = planned.min(limits.max.saturating_sub(kept));
            self.want(&situation, zone, CountMarket::Reclaimable, planned, &mut orders);
            self.want(&situation, zone, CountMarket::OnDemand, kept, &mut orders);
        }
        orders
    }

    /// Returns the engines that are planned for, before the reserve.
    pub fn planned_for(&self) -> f64 {
        self.needed.unwrap_or(0.0)
    }

    /// Notes that an order was refused: there are none of its kind in the zone for now.
    pub fn refused(&mut self, now: Stamp, order: &CountOrder) {
        let key = (order.zone.clone(), order.market);
        let Some(ordered) = self.ordered.get_mut(&key) else { return };
        ordered.refused_until = Some(now + REFUSED_PAUSE);
    }

    // While it is not known yet how many there are, reclaimable ones are ordered for half of the places.
    // On-demand ones can then be given back a start earlier; what is too much goes with the first plan.
    fn first_orders(&mut self, situation: &Situation<'_>) -> Vec<CountOrder> {
        let mut orders = Vec::new();
        let limits = situation.limits;
        if limits.reclaimable_price.is_none() {
            return orders;
        }
        for zone in limits.zones.keys() {
            let count = (limits.max / 2).max(limits.min);
            self.want(situation, zone, CountMarket::Reclaimable, count, &mut orders);
        }
        orders
    }

    // Servers register one after the other when all start together. Planned from the first few, the
    // rest would be given back just before the first requests come.
    fn is_settled(&mut self, situation: &Situation<'_>, busy: f64) -> bool {
        if self.needed.is_some() || BUSY_LEAST < busy {
            return true;
        }
        let there: u32 = situation.seen.values().map(|seen| seen.on_demand).sum();
        if there != self.counted {
            self.counted = there;
            self.counted_at = situation.now;
        }
        0 < there && SETTLED_AFTER <= situation.now.since(self.counted_at)
    }

    // The servers that are there when the duty begins are what the operators thought right, or the
    // holder before; demand that has not been seen yet is no reason for fewer.
    fn needed(&mut self, situation: &Situation<'_>, busy: f64) -> Needed {
        let Situation { now, limits, seen } = situation;
        let mut needed = self.note_demand(*now, limits, busy);
        let there = |of: fn(&ZoneServers) -> u32| f64::from(seen.values().map(of).sum::<u32>());
        // Reclaimable ones were ordered with the reserve; taken for needed, each holder would add to it.
        let reclaimable = there(|seen| seen.reclaimable) / limits.reserve();
        let found = *self.found.get_or_insert(reclaimable.max(there(|seen| seen.on_demand)));
        let seen_for = self.demand_since.map_or(Duration::ZERO, |since| now.since(since));
        if seen_for < self.staffing.kept_for(limits.start) {
            needed.kept = needed.kept.max(found);
        }
        if seen_for < self.staffing.stand_ins_for(limits.start) {
            needed.at_once = needed.at_once.max(found);
        }
        self.needed = Some(needed.at_once);
        Needed { kept: needed.kept.max(1.0), at_once: needed.at_once.max(1.0) }
    }

    fn note_demand(&mut self, now: Stamp, limits: &CountLimits, busy: f64) -> Needed {
        if BUSY_LEAST < busy {
            self.demand_since.get_or_insert(now);
        }
        let engines = self.staffing.engines(busy);
        let kept = self.peak.note(now, self.staffing.kept_for(limits.start), engines);
        let stand_ins = self.staffing.stand_ins_for(limits.start);
        Needed { kept, at_once: self.stand_in_peak.note(now, stand_ins, engines) }
    }

    fn reclaimable_targets(
        &self,
        situation: &Situation<'_>,
        needed: f64,
    ) -> BTreeMap<ZoneName, u32> {
        let limits = situation.limits;
        let mut targets = BTreeMap::new();
        if limits.reclaimable_price.is_none() {
            return targets;
        }
        let zones = limits.zones.len().max(1) as u32;
        let total = (needed * limits.reserve()).ceil() as u32;
        let (each, mut over) = (total / zones, total % zones);
        for zone in by_price(limits) {
            let more = over.min(1);
            over -= more;
            targets.insert(zone.clone(), (each + more).clamp(limits.min, limits.max));
        }
        // What is given back while none are sold has to be replaced by what costs several times as much.
        if self.is_scarce(situation) {
            for (zone, target) in &mut targets {
                let there = situation.seen.get(zone).map_or(0, |seen| seen.reclaimable);
                *target = (*target).max(there);
            }
        }
        targets
    }

    fn on_demand_targets(
        &mut self,
        situation: &Situation<'_>,
        needed: f64,
        reclaimable: &BTreeMap<ZoneName, u32>,
    ) -> BTreeMap<ZoneName, u32> {
        let Situation { now, limits, seen } = situation;
        let there: u32 = seen.values().map(|seen| seen.reclaimable).sum();
        let coming: u32 = limits.zones.keys().map(|zone| self.coming(situation, zone)).sum();
        // Reclaims mostly take several zones one after the other. While none are sold, what the next one
        // would take is replaced before it goes: an on-demand server takes seconds to start too.
        let at_risk = seen.values().map(|seen| seen.reclaimable).max().unwrap_or(0);
        let at_risk = if self.is_scarce(situation) { at_risk } else { 0 };
        let missing = (needed.ceil() as u32).saturating_sub(there + coming - at_risk);
        let standing_in: u32 = seen.values().map(|seen| seen.on_demand).sum();
        let enough = needed <= f64::from(there + standing_in.min(missing));
        let since = enough.then(|| self.enough_since.unwrap_or(*now));
        self.enough_since = since;
        let steady = since.is_some_and(|since| STEADY_FOR <= now.since(since));
        let mut wanted = if steady { missing } else { missing.max(standing_in) };

        let mut targets = BTreeMap::new();
        // Those that are there come first: others would only start when they are no longer needed.
        for zone in by_price(limits) {
            let of_zone = seen.get(zone).copied().unwrap_or_default();
            let short = limits.min.saturating_sub(of_zone.reclaimable);
            let kept = of_zone.on_demand.min(wanted.max(short));
            targets.insert(zone.clone(), kept);
            wanted = wanted.saturating_sub(kept);
        }
        for zone in by_price(limits) {
            let of_zone = seen.get(zone).copied().unwrap_or_default();
            let planned = reclaimable.get(zone).copied().unwrap_or(0);
            let taken = of_zone.reclaimable + self.coming(situation, zone).min(planned);
            let kept = targets.entry(zone.clone()).or_default();
            let more = wanted.min(limits.max.saturating_sub(taken + *kept));
            *kept += more;
            wanted -= more;
        }
        targets
    }

    // The platform takes back all reclaimable servers of a zone at once; a plan lowers them one by one.
    fn note_reclaims(&mut self, now: Stamp, seen: &BTreeMap<ZoneName, ZoneServers>) {
        if seen.values().any(|seen| seen.reclaimable == 0 && 0 < seen.leaving) {
            self.reclaimed_at = Some(now);
        }
    }

    // Whether the next zone may go at any moment, and what goes can't be bought again.
    fn is_scarce(&self, situation: &Situation<'_>) -> bool {
        let Situation { now, limits, .. } = situation;
        let mut refused = self.ordered.values().filter_map(|ordered| ordered.refused_until);
        let scarce_for = limits.start.mul_f64(SCARCE_STARTS);
        refused.any(|until| *now < until + REFUSED_PAUSE)
            || self.reclaimed_at.is_some_and(|at| now.since(at) < scarce_for)
    }

    // The reclaimable servers of a zone that were ordered and should start in time.
    fn coming(&self, situation: &Situation<'_>, zone: &ZoneName) -> u32 {
        let key = (zone.clone(), CountMarket::Reclaimable);
        let Some(ordered) = self.ordered.get(&key) else { return 0 };
        let late = situation.limits.start + START_SLACK <= situation.now.since(ordered.at);
        if late || ordered.refused_until.is_some() {
            return 0;
        }
        // An order that no more than makes up for those that leave is taken and starts none.
        let there = situation.seen.get(zone).map_or(0, |seen| seen.reclaimable + seen.leaving);
        ordered.count.saturating_sub(there)
    }

    fn want(
        &mut self,
        situation: &Situation<'_>,
        zone: &ZoneName,
        market: CountMarket,
        count: u32,
        orders: &mut Vec<CountOrder>,
    ) {
        let of_zone = situation.seen.get(zone).copied().unwrap_or_default();
        let (there, leaving) = match market {
            CountMarket::Reclaimable => (of_zone.reclaimable, of_zone.leaving),
            CountMarket::OnDemand => (of_zone.on_demand, 0),
        };
        let key = (zone.clone(), market);
        if !self.is_due(situation, &key, count, (there, leaving)) {
            return;
        }
        let (at, most_seen) = (situation.now, there);
        let ordered = Ordered { count, at, refused_until: None, most_seen, leaving };
        self.ordered.insert(key, ordered);
        orders.push(CountOrder { zone: zone.clone(), market, count });
    }

    fn is_due(
        &mut self,
        situation: &Situation<'_>,
        key: &(ZoneName, CountMarket),
        count: u32,
        (there, leaving): (u32, u32),
    ) -> bool {
        let Some(ordered) = self.ordered.get_mut(key) else {
            // A new holder does not repeat what is there already.
            return count != there;
        };
        if let Some(until) = ordered.refused_until {
            return until <= situation.now && (count != there || ordered.count != count);
        }
        // A reclaim takes servers that were ordered; the same number is ordered again at once, and also
        // where an order was not carried out in time.
        ordered.most_seen = ordered.most_seen.max(there);
        let taken = there < ordered.most_seen.min(count);
        // Those that left were counted by the platform when the order was given.
        let left = there < count && leaving < ordered.leaving;
        let late = there < count
            && situation.limits.start + START_SLACK <= situation.now.since(ordered.at);
        ordered.count != count || taken || left || late
    }
}

fn by_price(limits: &CountLimits) -> Vec<&ZoneName> {
    let mut zones: Vec<_> = limits.zones.iter().collect();
    zones.sort_by(|one, other| one.1.total_cmp(other.1).then(one.0.cmp(other.0)));
    zones.into_iter().map(|(zone, _)| zone).collect()
}
