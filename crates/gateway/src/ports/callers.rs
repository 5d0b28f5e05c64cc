//! The port where callers' requests come in.

use std::{sync::Arc, time::Duration};

use bulrushhall_external::{
    BoxFuture,
    http::{Body, Handler},
};
use hyper::{Request, Response, body::Incoming};

use crate::{gateway::Gateway, pipeline::serve};

/// A `CallerPort` serves callers' requests.
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

    // The same time bounds how long a connection may be idle, so the longer one holds: a caller may
    // use a connection again that was idle for most of the idle time-out.
    fn header_timeout(&self) -> Option<Duration> {
        let limits = self.gateway.table.load().as_ref().map(|table| table.limits)?;
        Some(limits.idle_timeout.max(limits.head_timeout))
    }
}
