//! The port on which callers look up the addresses of the nodes.

use std::sync::Arc;

use bulrushhall_external::{
    BoxFuture,
    http::{Body, Handler, empty, full},
};
use hyper::{Request, Response, StatusCode, body::Incoming};
use rand::seq::IndexedRandom;

use crate::{clock, gateway::Gateway};

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
        let mut addresses = self.gateway.with(|state| state.members.serving(clock::now()));
        if self.gateway.is_ready() {
            addresses.push(self.gateway.settings.ports.callers);
        }
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
