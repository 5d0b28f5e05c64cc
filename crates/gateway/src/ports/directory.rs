//! The port on which callers look up the addresses of the nodes.

use std::{net::SocketAddr, sync::Arc};

use bulrushhall_coord::{
    CapacityWeight, EntryNode, EntrySampler, Role, caller_weight, median_weight,
};
use bulrushhall_core::ZoneName;
use bulrushhall_external::{
    BoxFuture,
    http::{Body, CloseReason, Handler, empty, full},
};
use hyper::{Request, Response, StatusCode, body::Incoming};

use crate::{
    clock,
    gateway::{Gateway, State},
    ports::Port,
    reachability::is_isolated,
};

/// A `DirectoryPort` returns the addresses of the nodes that serve.
pub struct DirectoryPort {
    gateway: Arc<Gateway>,
}

impl DirectoryPort {
    /// Returns the port of a node.
    pub fn new(gateway: Arc<Gateway>) -> DirectoryPort {
        DirectoryPort { gateway }
    }

    fn respond(&self, req: Request<Incoming>) -> Response<Body> {
        let (head, _) = req.into_parts();
        let wire = &self.gateway.platform.wire;
        if wire.read_lookup(&head).is_none() {
            return status(StatusCode::NOT_FOUND);
        }
        let addresses = self.addresses();
        if addresses.is_empty() {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let ttl = self.gateway.settings.bounds.address_ttl;
        wire.addresses(&addresses, ttl.into()).map(full)
    }
}

/// A node that serves callers.
struct Serving {
    address: SocketAddr,
    zone: ZoneName,
    weight: Option<CapacityWeight>,
    role: Role,
    is_isolated: bool,
}

impl DirectoryPort {
    // Returns the addresses for one caller: a sample of the nodes by their weights.
    fn addresses(&self) -> Vec<SocketAddr> {
        let is_ready = self.gateway.is_ready();
        let capacity = self.gateway.settings.capacity.weight();
        let (serving, median, nodes) = self.gateway.with(|state| {
            let known = state.members.iter().map(|(_, member)| member.record.weight);
            let median = median_weight(known.chain([capacity]));
            (self.serving(state, is_ready), median, state.members.count())
        });
        let entries: Vec<EntryNode<'_>> = serving
            .iter()
            .map(|node| {
                // Without any known weight all nodes count equally, relays too.
                let weight = node.weight.or(median);
                let weight = weight.map_or(1.0, |weight| caller_weight(weight, node.role, nodes));
                EntryNode { zone: &node.zone, weight }
            })
            .collect();
        let max = self.gateway.settings.bounds.max_addresses;
        let sampler = EntrySampler { max, ..EntrySampler::default() };
        let sample = sampler.sample(&entries, &mut rand::rng());
        sample.into_iter().map(|at| serving[at].address).collect()
    }

    // Returns the nodes that serve and have a way to servers; all that serve, if none has one.
    fn serving(&self, state: &State, is_ready: bool) -> Vec<Serving> {
        let settings = &self.gateway.settings;
        let role = |is_relay| if is_relay { Role::Relay } else { Role::Member };
        let mut serving = Vec::new();
        for (name, member) in state.members.serving_members(clock::now()) {
            serving.push(Serving {
                address: member.record.callers,
                zone: member.record.zone.clone(),
                weight: member.record.weight,
                role: role(state.relays.relays.contains(name)),
                is_isolated: is_isolated(state, member.lost_services.iter()),
            });
        }
        if is_ready {
            serving.push(Serving {
                address: settings.ports.callers,
                zone: settings.gateway.zone.clone(),
                weight: settings.capacity.weight(),
                role: state.relays.role,
                is_isolated: is_isolated(state, state.reachability.lost_services()),
            });
        }
        let all_isolated = serving.iter().all(|node| node.is_isolated);
        serving.retain(|node| all_isolated || !node.is_isolated);
        serving
    }
}

impl Handler for DirectoryPort {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.respond(req) })
    }

    fn note_closed(&self, reason: CloseReason) {
        Port::Directory.note_closed(reason);
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
