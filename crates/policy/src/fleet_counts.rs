//! How many backend servers of each market a service should have in each availability zone, where
//! the platform buys and places them and takes only the counts.

use std::{collections::BTreeMap, time::Duration};

use bulrushhall_core::{Stamp, ZoneName};

/// The part of an engine's time that is planned to be used: above it, the wait for the first token
/// grows faster than the number of engines saved.
const USED_SHARE: f64 = 0.42;
/// How many times the needed number is kept in reclaimable ones: one of four zones can go at once,
/// and a second before the first can be bought again.
const RESERVE: f64 = 1.5;
/// The part of the needed number below which on-demand servers stand in: they cost several times as
/// much, and for the seconds until others are sold again a fuller fleet is the smaller loss.
const STAND_IN_SHARE: f64 = 0.75;
/// How long a zone that refused an order is left alone.
const REFUSED_PAUSE: Duration = Duration::from_millis(900);
/// How long the demand must have been lower before fewer engines are kept: half a period of the
/// early users' waves of traffic.
const LOWER_AFTER: Duration = Duration::from_secs(20);
/// The part to which the kept number may fall at a time.
const LOWER_TO: f64 = 0.8;
/// How long none must have been sold before on-demand servers are ordered for what the next reclaim
/// would take: after shorter times, reclaimable ones are back before on-demand ones have started.
const SOLD_OUT_FOR: Duration = Duration::from_millis(2_500);
/// The time in which the highest demand fades to a third, for on-demand servers: twice an engine's
/// start, so that they are kept through a wave and not for long after a burst.
const RECENT_FADES: Duration = Duration::from_secs(8);
/// How much longer than an engine's start an order may take before it is given again.
const START_SLACK: Duration = Duration::from_millis(1_500);
/// How long enough engines must have been there before on-demand ones are given back.
const STEADY_FOR: Duration = Duration::from_millis(500);

/// How long no further server must have come before the first plan without any demand: longer than
/// the time between two that register one after the other.
const SETTLED_AFTER: Duration = Duration::from_millis(1_500);
/// The demand, in busy engines, from which it is taken as seen.
const BUSY_LEAST: f64 = 0.5;

/// A `CountMarket` tells whether the servers of a count can be taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CountMarket {
    /// Cheap, and taken back after a notice, all of a zone at once.
    Reclaimable,
    /// Kept until the count is lowered.
    OnDemand,
}

/// A `CountLimits` are what a service allows in each zone, and what it costs there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CountLimits {
    /// The fewest servers in a zone, of both markets together.
    pub least: u32,
    /// The most servers in a zone, of both markets together.
    pub most: u32,
    /// How long a server takes to start.
    pub start: Duration,
    /// The price of a reclaimable server as a part of an on-demand one's; none are sold without.
    pub reclaimable_price: Option<f64>,
    /// The price of an on-demand server by zone.
    pub zones: BTreeMap<ZoneName, f64>,
}

/// `Seen` are the servers of one zone that take work now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// The reclaimable ones.
    pub reclaimable: u32,
    /// The on-demand ones.
    pub on_demand: u32,
}

/// A `CountOrder` asks for a number of servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CountOrder {
    /// The zone.
    pub zone: ZoneName,
    /// The market.
    pub market: CountMarket,
    /// The number.
    pub count: u32,
}

/// A `CountPlanner` decides the orders of one service.
///
/// Reclaimable servers are bought in reserve, since a reclaim mostly comes with a time in which none
/// are sold. On-demand ones stand in only for what is missing then.
#[derive(Clone, Debug, Default)]
pub struct CountPlanner {
    ordered: BTreeMap<(ZoneName, CountMarket), Ordered>,
    needed: Option<f64>,
    needed_at: Stamp,
    peak: f64,
    recent: f64,
    recent_at: Stamp,
    counted: u32,
    counted_at: Stamp,
    enough_since: Option<Stamp>,
    sold_out_since: Option<Stamp>,
}

#[derive(Clone, Copy, Debug)]
struct Ordered {
    count: u32,
    at: Stamp,
    refused_until: Option<Stamp>,
    /// The most that were there since.
    most_seen: u32,
}

/// What one plan is made from.
struct Situation<'a> {
    now: Stamp,
    limits: &'a CountLimits,
    seen: &'a BTreeMap<ZoneName, Seen>,
}

impl CountPlanner {
    /// Returns the orders to give now.
    ///
    /// `busy` is the demand: the engines that would be busy all the time with it.
    pub fn plan(
        &mut self,
        now: Stamp,
        limits: &CountLimits,
        busy: f64,
        seen: &BTreeMap<ZoneName, Seen>,
    ) -> Vec<CountOrder> {
        let situation = Situation { now, limits, seen };
        if !self.is_settled(&situation, busy) {
            return self.first_orders(&situation);
        }
        let needed = self.needed(&situation, busy);
        let reclaimable = self.reclaimable_targets(&situation, needed);
        let on_demand = self.on_demand_targets(&situation, needed, &reclaimable);
        let mut orders = Vec::new();
        for zone in limits.zones.keys() {
            let kept = on_demand.get(zone).copied().unwrap_or(0);
            let planned = reclaimable.get(zone).copied().unwrap_or(0);
            let planned = planned.min(limits.most.saturating_sub(kept));
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
            let count = (limits.most / 2).max(limits.least);
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
    fn needed(&mut self, situation: &Situation<'_>, busy: f64) -> f64 {
        let measured = busy / USED_SHARE;
        let there = situation.seen.values().map(|seen| seen.on_demand.max(seen.reclaimable));
        if self.needed.is_none() {
            self.needed_at = situation.now;
        }
        let kept = *self.needed.get_or_insert_with(|| f64::from(there.sum::<u32>()));
        self.peak = self.peak.max(measured);
        self.note_recent(situation.now, measured);
        let mut needed = kept;
        if kept <= measured {
            needed = measured;
            self.needed_at = situation.now;
            self.peak = 0.0;
        } else if LOWER_AFTER <= situation.now.since(self.needed_at) {
            // The highest since, not the last: demand swings faster than engines start.
            needed = self.peak.max(kept * LOWER_TO);
            self.needed_at = situation.now;
            self.peak = 0.0;
        }
        self.needed = Some(needed);
        needed.max(1.0)
    }

    // The highest demand of the last seconds, which fades.
    fn note_recent(&mut self, now: Stamp, measured: f64) {
        let passed = now.since(self.recent_at).as_secs_f64();
        let faded = self.recent * (-passed / RECENT_FADES.as_secs_f64()).exp();
        self.recent = measured.max(faded);
        self.recent_at = now;
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
        let each = (needed * RESERVE / limits.zones.len().max(1) as f64).ceil() as u32;
        for zone in limits.zones.keys() {
            targets.insert(zone.clone(), each.clamp(limits.least, limits.most));
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
        // Until there was any demand, the servers that were there are the only measure.
        let seen_demand = BUSY_LEAST / USED_SHARE < self.recent;
        let needed = if seen_demand { needed.min(self.recent) } else { needed };
        let needed = needed * STAND_IN_SHARE;
        // Reclaims mostly take several zones one after the other. While none are sold, what the next one
        // would take is replaced before it goes: an on-demand server takes seconds to start too.
        let at_risk = seen.values().map(|seen| seen.reclaimable).max().unwrap_or(0);
        let at_risk = if self.is_sold_out_long(*now) { at_risk } else { 0 };
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
            let short = limits.least.saturating_sub(of_zone.reclaimable);
            let kept = of_zone.on_demand.min(wanted.max(short));
            targets.insert(zone.clone(), kept);
            wanted = wanted.saturating_sub(kept);
        }
        for zone in by_price(limits) {
            let of_zone = seen.get(zone).copied().unwrap_or_default();
            let planned = reclaimable.get(zone).copied().unwrap_or(0);
            let taken = of_zone.reclaimable + self.coming(situation, zone).min(planned);
            let kept = targets.entry(zone.clone()).or_default();
            let more = wanted.min(limits.most.saturating_sub(taken + *kept));
            *kept += more;
            wanted -= more;
        }
        targets
    }

    fn is_sold_out_long(&mut self, now: Stamp) -> bool {
        let mut refused = self.ordered.values().filter_map(|ordered| ordered.refused_until);
        if !refused.any(|until| now < until + REFUSED_PAUSE) {
            self.sold_out_since = None;
            return false;
        }
        SOLD_OUT_FOR <= now.since(*self.sold_out_since.get_or_insert(now))
    }

    // The reclaimable servers of a zone that were ordered and should start in time.
    fn coming(&self, situation: &Situation<'_>, zone: &ZoneName) -> u32 {
        let key = (zone.clone(), CountMarket::Reclaimable);
        let Some(ordered) = self.ordered.get(&key) else { return 0 };
        let late = situation.limits.start + START_SLACK <= situation.now.since(ordered.at);
        if late || ordered.refused_until.is_some() {
            return 0;
        }
        let there = situation.seen.get(zone).map_or(0, |seen| seen.reclaimable);
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
        let there = situation.seen.get(zone).copied().unwrap_or_default();
        let there = match market {
            CountMarket::Reclaimable => there.reclaimable,
            CountMarket::OnDemand => there.on_demand,
        };
        let key = (zone.clone(), market);
        if !self.is_due(situation, &key, count, there) {
            return;
        }
        let (at, most_seen) = (situation.now, there);
        self.ordered.insert(key, Ordered { count, at, refused_until: None, most_seen });
        orders.push(CountOrder { zone: zone.clone(), market, count });
    }

    fn is_due(
        &mut self,
        situation: &Situation<'_>,
        key: &(ZoneName, CountMarket),
        count: u32,
        there: u32,
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
        let late = there < count
            && situation.limits.start + START_SLACK <= situation.now.since(ordered.at);
        ordered.count != count || taken || late
    }
}

fn by_price(limits: &CountLimits) -> Vec<&ZoneName> {
    let mut zones: Vec<_> = limits.zones.iter().collect();
    zones.sort_by(|one, other| one.1.total_cmp(other.1).then(one.0.cmp(other.0)));
    zones.into_iter().map(|(zone, _)| zone).collect()
}
