//! The port where callers ask which addresses to use.

use std::sync::Arc;

use bulrushhall_external::{
    BoxFuture,
    http::{Body, Handler, empty, full},
};
use hyper::{Request, Response, StatusCode, body::Incoming};
use rand::seq::IndexedRandom;

use crate::{clock, gateway::Gateway};

/// A `DirectoryPort` names the addresses of the nodes that serve.
pub struct DirectoryPort {
    gateway: Arc<Gateway>,
}

impl DirectoryPort {
    /// Returns the port of a node.
    pub fn new(gateway: Arc<Gateway>) -> DirectoryPort {
        DirectoryPort { gateway }
    }

    fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let (head, _) = req.into_parts();
        let wire = &self.gateway.platform.wire;
        if wire.read_lookup(&head).is_none() {
            return status(StatusCode::NOT_FOUND);
        }
        let mut addresses = self.gateway.with(|state| state.members.serving(clock::now()));
        if self.gateway.is_ready() {
            addresses.push(self.gateway.settings.ports.callers);
        }
        // A caller reads no more than so many. Always the first ones, callers would find the others never.
        let most = self.gateway.settings.bounds.max_addresses;
        if most < addresses.len() {
            addresses = addresses.sample(&mut rand::rng(), most).copied().collect();
        }
        if addresses.is_empty() {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let keep = self.gateway.settings.bounds.address_ttl;
        wire.addresses(&addresses, keep.into()).map(full)
    }
}

impl Handler for DirectoryPort {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.answer(req) })
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(empty());
    *answer.status_mut() = status;
    answer
}
