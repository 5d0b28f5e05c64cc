//! The port on which callers look up the addresses of the nodes.

use std::{net::SocketAddr, sync::Arc};

use bulrushhall_external::{
    BoxFuture,
    http::{Body, Handler, empty, full},
};
use hyper::{Request, Response, StatusCode, body::Incoming};
use rand::seq::IndexedRandom;

use crate::{clock, gateway::Gateway, reachability::is_isolated};

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
        let mut addresses = self.addresses();
        // A caller reads only a limited number of addresses. They are sampled at random: if they were
        // always the first ones, callers would never find the others.
        let max = self.gateway.settings.bounds.max_addresses;
        if max < addresses.len() {
            addresses = addresses.sample(&mut rand::rng(), max).copied().collect();
        }
        if addresses.is_empty() {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let ttl = self.gateway.settings.bounds.address_ttl;
        wire.addresses(&addresses, ttl.into()).map(full)
    }
}

impl DirectoryPort {
    // Returns the addresses of the nodes that serve and have a way to servers; of all that serve, if none has one.
    fn addresses(&self) -> Vec<SocketAddr> {
        let is_ready = self.gateway.is_ready();
        self.gateway.with(|state| {
            let mut serving = Vec::new();
            for member in state.members.serving_members(clock::now()) {
                let is_isolated = is_isolated(state, member.lost_services.iter());
                serving.push((member.record.callers, is_isolated));
            }
            if is_ready {
                let is_isolated = is_isolated(state, state.reachability.lost_services());
                serving.push((self.gateway.settings.ports.callers, is_isolated));
            }
            let all_isolated = serving.iter().all(|(_, is_isolated)| *is_isolated);
            serving.retain(|(_, is_isolated)| all_isolated || !is_isolated);
            serving.into_iter().map(|(address, _)| address).collect()
        })
    }
}

impl Handler for DirectoryPort {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.respond(req) })
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
