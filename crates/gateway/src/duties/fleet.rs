//! Orders for backend servers.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use bulrushhall_core::{Event, ServiceName, ZoneName};
use bulrushhall_external::CallError;
use bulrushhall_policy::fleet_counts::{CountLimits, CountOrder, CountPlanner, ZoneServers};

use crate::{
    clock,
    demand::Offered,
    duties::{Holder, holder::ORDER_TIMEOUT, within},
    gateway::{Gateway, State},
    table::{EngineSizes, RouteTable},
};

/// The part of an engine's memory that running requests may take in the plan; the rest keeps what
/// prompts share.
const MEMORY_SHARE: f64 = 0.7;

/// An order that is due, with the demand that it was made from.
struct DueOrder {
    service: ServiceName,
    busy: f64,
    order: CountOrder,
}

/// What one service's plan is made from.
struct Outlook<'a> {
    service: &'a ServiceName,
    limits: &'a CountLimits,
    busy: f64,
    seen: BTreeMap<ZoneName, ZoneServers>,
}

/// A `FleetDuty` orders as many backend servers as the demand asks for.
#[derive(Debug, Default)]
pub struct FleetDuty {
    planners: HashMap<ServiceName, CountPlanner>,
}

impl FleetDuty {
    /// Gives the orders that are due.
    pub async fn act(&mut self, gateway: &Arc<Gateway>, holder: &Holder) {
        let Some(table) = gateway.table.load_full() else { return };
        for DueOrder { service, busy, order } in self.due(gateway, &table) {
            let Some(orders) = &gateway.platform.orders else { return };
            let Some(authority) = holder.authority() else { return };
            match within(ORDER_TIMEOUT, orders.order(&authority, &service, &order)).await {
                Ok(()) => {
                    let pace = gateway.with(|state| state.observed(&service).engines.model());
                    tracing::info!(
                        event = Event::CountOrdered.number(),
                        service = service.as_str(),
                        zone = order.zone.as_str(),
                        market = ?order.market,
                        count = order.count,
                        planned_for = self.planned_for(&service),
                        busy,
                        read_per_ms = pace.prefill_tokens_per_ms(),
                        event_ms = pace.gap.base,
                        event_ms_more = pace.gap.slope,
                        event_tokens = pace.event_tokens,
                        samples = pace.samples
                    );
                }
                Err(error) => self.refused(&service, &order, &error),
            }
        }
    }

    /// Notes the demand while another node holds the duty.
    pub fn observe(&mut self, gateway: &Gateway) {
        let Some(table) = gateway.table.load_full() else { return };
        let now = clock::now();
        for Outlook { service, limits, busy, seen } in outlooks(gateway, &table) {
            self.planner(gateway, service).observe(now, limits, busy, &seen);
        }
    }

    fn planner(&mut self, gateway: &Gateway, service: &ServiceName) -> &mut CountPlanner {
        let new = || CountPlanner::new(gateway.settings.fleet.sizing_rule());
        self.planners.entry(service.clone()).or_insert_with(new)
    }

    fn due(&mut self, gateway: &Gateway, table: &RouteTable) -> Vec<DueOrder> {
        let now = clock::now();
        let mut due = Vec::new();
        for Outlook { service, limits, busy, seen } in outlooks(gateway, table) {
            for order in self.planner(gateway, service).plan(now, limits, busy, &seen) {
                due.push(DueOrder { service: service.clone(), busy, order });
            }
        }
        due
    }

    fn planned_for(&self, service: &ServiceName) -> f64 {
        self.planners.get(service).map_or(0.0, CountPlanner::planned_for)
    }

    fn refused(&mut self, service: &ServiceName, order: &CountOrder, error: &CallError) {
        tracing::info!(
            event = Event::OrderFailed.number(),
            order = "count",
            service = service.as_str(),
            zone = order.zone.as_str(),
            market = ?order.market,
            count = order.count,
            %error
        );
        if let Some(planner) = self.planners.get_mut(service) {
            planner.refused(clock::now(), order);
        }
    }
}

fn outlooks<'a>(gateway: &Gateway, table: &'a RouteTable) -> Vec<Outlook<'a>> {
    let mut outlooks = Vec::new();
    for (service, entry) in &table.services {
        let Some(limits) = &entry.counts else { continue };
        let (busy, seen) = gateway.with(|state| {
            let busy = entry.engine.map_or(0.0, |sizes| busy(state, service, sizes));
            (busy, seen(state, service))
        });
        outlooks.push(Outlook { service, limits, busy, seen });
    }
    outlooks
}

// The engines that the demand of all nodes keeps busy: with their time, or with their memory where that
// is what fills up first.
fn busy(state: &mut State, service: &ServiceName, sizes: EngineSizes) -> f64 {
    let now = clock::now();
    let mut offered =
        state.demand.get_mut(service).map_or(Offered::default(), |demand| demand.rate(now));
    for (_, member) in state.members.iter() {
        let told = member.offered.get(service);
        offered = offered.plus(told.copied().unwrap_or_default());
    }
    let held: u64 = state.backends.open(service).map(|(_, backend)| backend.held(now)).sum();
    let memory = held as f64 / (sizes.memory.max(1) as f64 * MEMORY_SHARE);
    offered.busy(&state.observed(service).engines.model(), sizes.slots).max(memory)
}

fn seen(state: &State, service: &ServiceName) -> BTreeMap<ZoneName, ZoneServers> {
    let mut seen: BTreeMap<ZoneName, ZoneServers> = BTreeMap::new();
    for (_, backend) in state.backends.iter() {
        if backend.record.service != *service {
            continue;
        }
        let of_zone = seen.entry(backend.record.zone.clone()).or_default();
        match (backend.record.reclaimable, backend.is_open()) {
            (true, true) => of_zone.reclaimable += 1,
            (true, false) => of_zone.leaving += 1,
            (false, true) => of_zone.on_demand += 1,
            (false, false) => {}
        }
    }
    seen
}
