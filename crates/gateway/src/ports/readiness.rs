//! The port of the platform's readiness check.

use std::sync::Arc;

use bulrushhall_external::{
    BoxFuture,
    http::{Body, CloseReason, Handler, empty},
};
use hyper::{Request, Response, StatusCode, body::Incoming};

use crate::{gateway::Gateway, ports::Port};

/// A `ReadinessPort` returns the status 200 while the node serves, and 503 otherwise.
pub struct ReadinessPort {
    gateway: Arc<Gateway>,
}

impl ReadinessPort {
    /// Returns the port of a node.
    pub fn new(gateway: Arc<Gateway>) -> ReadinessPort {
        ReadinessPort { gateway }
    }
}

impl Handler for ReadinessPort {
    fn handle(self: Arc<Self>, _req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        let mut response = Response::new(empty());
        if !self.gateway.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        Box::pin(async move { response })
    }

    fn note_closed(&self, reason: CloseReason) {
        Port::Readiness.note_closed(reason);
    }
}
