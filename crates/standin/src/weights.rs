//! A simulated weight store that serves one load at a time.

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

/// A `WeightServer` is a simulated weight store on a loopback port.
pub struct WeightServer {
    shared: Arc<Shared>,
    running: RunningServer,
}

struct Shared {
    load_time: Duration,
    free_at: Mutex<Instant>,
    switches: Switches,
}

impl WeightServer {
    /// Starts a store on a free loopback port that runs one load of duration `load_time` at a time.
    pub async fn start(load_time: Duration) -> io::Result<WeightServer> {
        let free_at = Mutex::new(Instant::now());
        let shared = Arc::new(Shared { load_time, free_at, switches: Switches::new(4) });
        let running = RunningServer::start(Arc::clone(&shared) as Arc<dyn Handler>).await?;
        Ok(WeightServer { shared, running })
    }

    /// Returns the address that the server listens on.
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
        let start_at = (*free_at).max(now);
        *free_at = start_at + self.load_time;
        WeightGrant { wait_ms: millis(start_at - now), load_ms: millis(self.load_time) }
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, _req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            if self.switches.delay_call().await.outage {
                return reply::status(StatusCode::SERVICE_UNAVAILABLE);
            }
            reply::json(&self.grant())
        })
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
