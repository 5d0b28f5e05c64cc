//! The stand-in of the weight store, which hands out one load after the other.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bulrushhall_external::{
    BoxFuture,
    http::{Body, Handler},
    weights::WeightGrant,
};
use hyper::{Request, Response, StatusCode, body::Incoming};
use tokio::time::Instant;

use crate::{reply, running_server::RunningServer, switches::Switches};

/// A `WeightServer` is a weight store with a rate limit.
pub struct WeightServer {
    shared: Arc<Shared>,
    running: RunningServer,
}

struct Shared {
    load: Duration,
    free_at: Mutex<Instant>,
    switches: Switches,
}

impl WeightServer {
    /// Starts a store on a free loopback port whose loads take `load` each, one at a time.
    pub async fn start(load: Duration) -> io::Result<WeightServer> {
        let free_at = Mutex::new(Instant::now());
        let shared = Arc::new(Shared { load, free_at, switches: Switches::new(4) });
        let running = RunningServer::start(Arc::clone(&shared) as Arc<dyn Handler>).await?;
        Ok(WeightServer { shared, running })
    }

    /// Returns the address that the store is found at.
    pub fn address(&self) -> SocketAddr {
        self.running.address()
    }

    /// Returns the fault switches.
    pub fn switches(&self) -> &Switches {
        &self.shared.switches
    }
}

impl Shared {
    fn grant(&self) -> WeightGrant {
        let now = Instant::now();
        let mut free_at = self.free_at.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let starts = (*free_at).max(now);
        *free_at = starts + self.load;
        WeightGrant { wait_ms: millis(starts - now), load_ms: millis(self.load) }
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, _req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            if self.switches.enter().await.outage {
                return reply::status(StatusCode::SERVICE_UNAVAILABLE);
            }
            reply::json(&self.grant())
        })
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
