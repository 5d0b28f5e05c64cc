//! A simulated plain service that counts the executions of each idempotency key.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bulrushhall_core::VmName;
use bulrushhall_external::{
    BoxFuture,
    clients::FENCING_NUMBER_HEADER,
    http::{Body, Handler},
};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{HeaderValue, RETRY_AFTER},
};
use serde::{Deserialize, Serialize};

use crate::{reply, running_server::RunningServer, switches::Switches};

/// The header with the idempotency key of a call.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// A `Ledger` counts the executions of each key over all backend servers of one plain service.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: Mutex<BTreeMap<String, u32>>,
}

/// `ServiceCounts` count the executions of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// The number of executions of each idempotency key.
    pub runs: BTreeMap<String, u32>,
}

/// A `ServiceServer` is one backend server of a plain service on a loopback port.
pub struct ServiceServer {
    shared: Arc<Shared>,
    running: RunningServer,
}

/// `ServiceOptions` set the behavior of a simulated service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceOptions {
    /// The duration of a call.
    pub work: Duration,
    /// Whether calls with an outdated fencing number are refused.
    pub checks_fence: bool,
}

struct Shared {
    vm: VmName,
    options: ServiceOptions,
    ledger: Arc<Ledger>,
    highest_fence: Mutex<u64>,
    calls: AtomicU64,
    switches: Switches,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        ServiceOptions { work: Duration::from_millis(2), checks_fence: false }
    }
}

impl Ledger {
    /// Returns the number of executions of each key so far.
    pub fn counts(&self) -> ServiceCounts {
        ServiceCounts { runs: self.lock().clone() }
    }

    /// Returns the number of keys that were executed more than once.
    pub fn duplicated_keys(&self) -> usize {
        self.lock().values().filter(|runs| 1 < **runs).count()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, u32>> {
        self.runs.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn execute(&self, key: &str) -> u32 {
        let mut runs = self.lock();
        let count = runs.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }
}

impl ServiceServer {
    /// Starts a backend server on a free loopback port that counts its executions in `ledger`.
    pub async fn start(
        vm: VmName,
        ledger: Arc<Ledger>,
        options: ServiceOptions,
    ) -> io::Result<ServiceServer> {
        let seed = xxhash_rust::xxh3::xxh3_64(vm.as_str().as_bytes());
        let switches = Switches::new(seed);
        let (highest_fence, calls) = (Mutex::default(), AtomicU64::new(0));
        let shared = Arc::new(Shared { vm, options, ledger, highest_fence, calls, switches });
        let running = RunningServer::start(Arc::clone(&shared) as Arc<dyn Handler>).await?;
        Ok(ServiceServer { shared, running })
    }

    /// Returns the address that the backend server listens on.
    pub fn address(&self) -> SocketAddr {
        self.running.address()
    }

    /// Returns the VM that the backend server runs on.
    pub fn vm(&self) -> &VmName {
        &self.shared.vm
    }

    /// Returns the number of calls that reached the backend server.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    /// Returns the fault switches.
    pub fn switches(&self) -> &Switches {
        &self.shared.switches
    }

    /// Stops the backend server and closes its connections, as the failure of its VM would.
    pub fn kill(&self) {
        self.running.kill();
    }
}

impl Shared {
    async fn respond(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        if req.uri().path() == "/identity" {
            self.switches.wait_while_silent().await;
            return reply::identity(&self.vm, "");
        }
        self.calls.fetch_add(1, Ordering::Relaxed);
        let faults = self.switches.delay_call().await;
        if faults.outage {
            return unavailable(faults.rest_s);
        }
        if !self.accepts_fence(&req) {
            return reply::status(StatusCode::PRECONDITION_FAILED);
        }
        let key = req.headers().get(IDEMPOTENCY_KEY_HEADER).and_then(|key| key.to_str().ok());
        let key = key.map(str::to_owned);
        let (method, path) = (req.method().clone(), req.uri().path().to_owned());
        if reply::read(req.into_body()).await.is_err() {
            return reply::status(StatusCode::BAD_REQUEST);
        }
        tokio::time::sleep(self.options.work).await;

        let execution = match (&key, method) {
            (_, Method::GET) => 0,
            (Some(key), _) => self.ledger.execute(key),
            (None, _) => self.ledger.execute("(no key)"),
        };
        self.switches.wait_while_frozen().await;
        if self.switches.should_lose_reply() {
            return reply::status(StatusCode::GATEWAY_TIMEOUT);
        }
        reply::json(&serde_json::json!({ "path": path, "key": key, "run": execution }))
    }

    fn accepts_fence(&self, req: &Request<Incoming>) -> bool {
        let fence = req.headers().get(FENCING_NUMBER_HEADER).and_then(|fence| fence.to_str().ok());
        let fence: u64 = fence.and_then(|fence| fence.parse().ok()).unwrap_or(0);
        let mut highest =
            self.highest_fence.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if self.options.checks_fence && fence < *highest {
            return false;
        }
        *highest = fence.max(*highest);
        true
    }
}

fn unavailable(rest_s: u32) -> Response<Body> {
    let mut response = reply::status(StatusCode::SERVICE_UNAVAILABLE);
    if 0 < rest_s {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(rest_s));
    }
    response
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(self.respond(req))
    }
}
