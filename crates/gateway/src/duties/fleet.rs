//! Scaling of the fleet: orders for backend servers.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use bulrushhall_coord::rollouts::RolloutPhase;
use bulrushhall_core::{Event, ServiceName, ZoneName};
use bulrushhall_external::CallError;
use bulrushhall_policy::fleet_counts::{
    CountLimits, CountMarket, CountOrder, CountPlanner, VersionReserve, ZoneServers,
};

use crate::{
    adapter::BackendRecord,
    clock,
    duties::{Holder, fleet_demand::FleetDemand},
    gateway::{Gateway, State},
    table::RouteTable,
};

/// A `DueOrder` is an order to give now, with the demand that it is based on.
struct DueOrder {
    service: ServiceName,
    demand: FleetDemand,
    order: CountOrder,
}

/// A `PlanInput` is the input of one service's plan.
struct PlanInput<'a> {
    service: &'a ServiceName,
    limits: &'a CountLimits,
    demand: FleetDemand,
    servers: BTreeMap<ZoneName, ZoneServers>,
}

/// A `FleetDuty` orders as many backend servers as the demand requires.
#[derive(Debug, Default)]
pub struct FleetDuty {
    planners: HashMap<ServiceName, CountPlanner>,
    /// The last orders that were given while several versions served.
    limited: HashMap<ServiceName, BTreeMap<(ZoneName, CountMarket), CountOrder>>,
}

impl FleetDuty {
    /// Gives the orders that are due.
    pub async fn act(&mut self, gateway: &Arc<Gateway>, holder: &Holder) {
        let Some(table) = gateway.table.load_full() else { return };
        for DueOrder { service, demand, order } in self.due_orders(gateway, &table) {
            let Some(orders) = &gateway.platform.orders else { return };
            let Some(authority) = holder.authority() else { return };
            match orders.order(&authority, &service, &order).await {
                Ok(()) => {
                    let FleetDemand { busy, model, queued_tokens } = demand;
                    tracing::info!(
                        event = Event::CountOrdered.number(),
                        service = service.as_str(),
                        zone = order.zone.as_str(),
                        market = ?order.market,
                        count = order.count,
                        planned_for = self.planned_for(&service),
                        busy,
                        read_per_ms = model.prefill_tokens_per_ms(),
                        event_ms = model.gap.base,
                        event_ms_more = model.gap.slope,
                        event_tokens = model.event_tokens,
                        samples = model.samples,
                        queued_tokens
                    );
                }
                Err(error) => self.note_failed_order(&service, &order, &error),
            }
        }
    }

    /// Records the demand while another node holds the duties.
    pub fn observe(&mut self, gateway: &Gateway) {
        let Some(table) = gateway.table.load_full() else { return };
        let now = clock::now();
        for PlanInput { service, limits, demand, servers } in plan_inputs(gateway, &table) {
            self.planner(gateway, service).observe(now, limits, demand.busy, &servers);
        }
    }

    fn planner(&mut self, gateway: &Gateway, service: &ServiceName) -> &mut CountPlanner {
        let new = || CountPlanner::new(gateway.settings.fleet.sizing_rule());
        self.planners.entry(service.clone()).or_insert_with(new)
    }

    fn due_orders(&mut self, gateway: &Gateway, table: &RouteTable) -> Vec<DueOrder> {
        let now = clock::now();
        let mut due = Vec::new();
        for PlanInput { service, limits, demand, servers } in plan_inputs(gateway, table) {
            let mut reserve = gateway.with(|state| version_reserve(state, service));
            for given in self.limited.get(service).into_iter().flat_map(BTreeMap::values) {
                reserve.note_ordered(given);
            }
            for order in self.planner(gateway, service).plan(now, limits, demand.busy, &servers) {
                let Some(order) = with_rollout(gateway, service, order) else { continue };
                let Some(order) = self.with_versions(gateway, service, &mut reserve, order) else {
                    continue;
                };
                due.push(DueOrder { service: service.clone(), demand, order });
            }
        }
        due
    }

    // Returns the order with as many servers as each version needs for its streams; none if it was given already. The
    // planner asks again later.
    fn with_versions(
        &mut self,
        gateway: &Gateway,
        service: &ServiceName,
        reserve: &mut VersionReserve,
        order: CountOrder,
    ) -> Option<CountOrder> {
        let limited = reserve.limited(order.clone());
        reserve.note_ordered(&limited);
        let place = (order.zone.clone(), order.market);
        let given = self.limited.entry(service.clone()).or_default();
        if limited == order {
            given.remove(&place);
            return Some(order);
        }
        self.planner(gateway, service).refused(clock::now(), &order);
        let given = self.limited.entry(service.clone()).or_default();
        let before = given.insert(place, limited.clone());
        (before.as_ref() != Some(&limited)).then_some(limited)
    }

    fn planned_for(&self, service: &ServiceName) -> f64 {
        self.planners.get(service).map_or(0.0, CountPlanner::planned_for)
    }

    fn note_failed_order(&mut self, service: &ServiceName, order: &CountOrder, error: &CallError) {
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

fn plan_inputs<'a>(gateway: &Gateway, table: &'a RouteTable) -> Vec<PlanInput<'a>> {
    let mut plan_inputs = Vec::new();
    for (service, entry) in &table.services {
        let Some(limits) = &entry.counts else { continue };
        let (demand, servers) = gateway.with(|state| {
            let settings = &gateway.settings.fleet;
            let demand = entry
                .engine
                .map(|sizes| FleetDemand::of(state, clock::now(), service, sizes, settings));
            (demand.unwrap_or_default(), servers(state, service))
        });
        plan_inputs.push(PlanInput { service, limits, demand, servers });
    }
    plan_inputs
}

// Returns the order for the servers of both versions of a roll-out; none if it would take some away, as these
// could be of either version.
fn with_rollout(
    gateway: &Gateway,
    service: &ServiceName,
    mut order: CountOrder,
) -> Option<CountOrder> {
    gateway.with(|state| {
        let Some(rollout) = state.rollouts.known.get(service) else { return Some(order) };
        if rollout.phase != RolloutPhase::InProgress {
            return Some(order);
        }
        let (mut current, mut target) = (0, 0);
        for (_, backend) in state.backends.accepting(service) {
            if market(&backend.record) != order.market || backend.record.zone != order.zone {
                continue;
            }
            let is_target = backend.record.version == rollout.target;
            *(if is_target { &mut target } else { &mut current }) += 1;
        }
        if order.count < current {
            return None;
        }
        order.count += target;
        Some(order)
    })
}

fn version_reserve(state: &State, service: &ServiceName) -> VersionReserve {
    let mut reserve = VersionReserve::default();
    for (_, backend) in state.backends.accepting(service) {
        reserve.add(&backend.record.zone, market(&backend.record), &backend.record.version);
    }
    reserve
}

fn market(record: &BackendRecord) -> CountMarket {
    match record.reclaimable {
        true => CountMarket::Reclaimable,
        false => CountMarket::OnDemand,
    }
}

fn servers(state: &State, service: &ServiceName) -> BTreeMap<ZoneName, ZoneServers> {
    let mut servers: BTreeMap<ZoneName, ZoneServers> = BTreeMap::new();
    let rollout = state.rollouts.known.get(service);
    let target = rollout.filter(|rollout| rollout.phase == RolloutPhase::InProgress);
    for (_, backend) in state.backends.iter() {
        // The servers of a version that is being rolled out come and go with the roll-out.
        let is_target = target.is_some_and(|rollout| rollout.target == backend.record.version);
        if backend.record.service != *service || is_target {
            continue;
        }
        let of_zone = servers.entry(backend.record.zone.clone()).or_default();
        match (backend.record.reclaimable, backend.accepts_work()) {
            (true, true) => of_zone.reclaimable += 1,
            (true, false) => of_zone.leaving += 1,
            (false, true) => of_zone.on_demand += 1,
            (false, false) => {}
        }
    }
    servers
}
