//! Orders for backend servers.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use bulrushhall_core::{Event, ServiceName, ZoneName};
use bulrushhall_external::CallError;
use bulrushhall_policy::fleet_counts::{CountOrder, CountPlanner, Seen};

use crate::{
    clock,
    duties::{Holder, holder::ORDER_TIMEOUT, within},
    gateway::{Gateway, State},
    table::RouteTable,
};

/// A `FleetDuty` orders as many backend servers as the demand asks for.
#[derive(Debug, Default)]
pub struct FleetDuty {
    planners: HashMap<ServiceName, CountPlanner>,
}

impl FleetDuty {
    /// Gives the orders that are due.
    pub async fn act(&mut self, gateway: &Arc<Gateway>, holder: &Holder) {
        let Some(table) = gateway.table.load_full() else { return };
        for (service, order) in self.due(gateway, &table) {
            let Some(orders) = &gateway.platform.orders else { return };
            let Some(authority) = holder.authority() else { return };
            match within(ORDER_TIMEOUT, orders.order(&authority, &service, &order)).await {
                Ok(()) => {
                    tracing::info!(
                        event = Event::CountOrdered.number(),
                        service = service.as_str(),
                        zone = order.zone.as_str(),
                        market = ?order.market,
                        count = order.count,
                        planned_for = self.planned_for(&service),
                        busy = gateway.with(|state| busy(state, &service))
                    );
                }
                Err(error) => self.refused(&service, &order, &error),
            }
        }
    }

    fn due(&mut self, gateway: &Gateway, table: &RouteTable) -> Vec<(ServiceName, CountOrder)> {
        let now = clock::now();
        let mut due = Vec::new();
        for (service, entry) in &table.services {
            let Some(limits) = &entry.counts else { continue };
            let (busy, seen) = gateway.with(|state| (busy(state, service), seen(state, service)));
            let planner = self.planners.entry(service.clone()).or_default();
            for order in planner.plan(now, limits, busy, &seen) {
                due.push((service.clone(), order));
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

fn busy(state: &mut State, service: &ServiceName) -> f64 {
    let now = clock::now();
    let own = state.demand.get_mut(service).map_or(0.0, |demand| demand.busy(now));
    let told = state.members.iter().filter_map(|(_, member)| member.busy.get(service.as_str()));
    own + told.sum::<f64>()
}

fn seen(state: &State, service: &ServiceName) -> BTreeMap<ZoneName, Seen> {
    let mut seen: BTreeMap<ZoneName, Seen> = BTreeMap::new();
    for (_, backend) in state.backends.open(service) {
        let of_zone = seen.entry(backend.record.zone.clone()).or_default();
        if backend.record.reclaimable {
            of_zone.reclaimable += 1;
        } else {
            of_zone.on_demand += 1;
        }
    }
    seen
}
