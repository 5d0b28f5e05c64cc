//! The port for callers' requests.

use std::{sync::Arc, time::Duration};

use bulrushhall_external::{
    BoxFuture,
    http::{Body, CloseReason, Handler},
};
use hyper::{Request, Response, body::Incoming};

use crate::{gateway::Gateway, pipeline::serve, ports::Port};

/// A `CallerPort` handles callers' requests.
pub struct CallerPort {
    gateway: Arc<Gateway>,
}

impl CallerPort {
    /// Returns the port of a node.
    pub fn new(gateway: Arc<Gateway>) -> CallerPort {
        CallerPort { gateway }
    }
}

impl Handler for CallerPort {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(serve(Arc::clone(&self.gateway), req))
    }

    fn note_closed(&self, reason: CloseReason) {
        Port::Callers.note_closed(reason);
    }

    // The server uses one limit for the head and for an idle connection, so it is the longer of the two:
    // a caller may reuse a connection that was idle for most of the idle timeout.
    fn header_timeout(&self) -> Option<Duration> {
        let limits = self.gateway.table.load().as_ref().map(|table| table.limits)?;
        Some(limits.idle_timeout.max(limits.head_timeout))
    }
}
