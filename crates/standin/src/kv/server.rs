//! The HTTP server of the key-value service, with rate limits and fault switches.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bulrushhall_core::Stamp;
use bulrushhall_external::{
    BoxFuture,
    clients::{EXPECTED_VERSION_HEADER, LEASE_HEADER, VERSION_HEADER},
    http::{Body, Handler, full},
    kv::{CasOutcome, LeaseId, MAX_VALUE_BYTES, Version, Versioned},
};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming};
use tokio::{sync::watch, time::Instant};

use crate::{
    kv::{CallCounts, Store},
    reply,
    running_server::RunningServer,
    switches::{Faults, Switches},
};

/// The maximum time that a watch waits.
const MAX_WATCH_TIME: Duration = Duration::from_secs(60);

/// `KvOptions` are the rate limits of the key-value service and its random seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvOptions {
    /// The maximum number of writes per second, including lease calls.
    pub writes_per_second: u64,
    /// The maximum number of reads per second, including watches.
    pub reads_per_second: u64,
    /// The seed that determines which replies are lost.
    pub seed: u64,
}

/// A `KvServer` is a simulated key-value service on a loopback port.
pub struct KvServer {
    shared: Arc<Shared>,
    running: RunningServer,
}

struct Shared {
    options: KvOptions,
    started: Instant,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    switches: Switches,
}

#[derive(Default)]
struct State {
    store: Store,
    counts: CallCounts,
    current_second: u64,
    writes_in_second: u64,
    reads_in_second: u64,
}

impl Default for KvOptions {
    fn default() -> Self {
        KvOptions { writes_per_second: 400, reads_per_second: 2_000, seed: 1 }
    }
}

impl KvServer {
    /// Starts the service on a free loopback port.
    pub async fn start(options: KvOptions) -> io::Result<KvServer> {
        let switches = Switches::new(options.seed);
        let shared = Arc::new(Shared {
            options,
            started: Instant::now(),
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            switches,
        });
        let running = RunningServer::start(Arc::clone(&shared) as Arc<dyn Handler>).await?;
        Ok(KvServer { shared, running })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.running.address()
    }

    /// Returns the fault switches.
    pub fn switches(&self) -> &Switches {
        &self.shared.switches
    }

    /// Returns the counts of calls so far.
    pub fn counts(&self) -> CallCounts {
        self.shared.lock().counts
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now(&self) -> Stamp {
        Stamp(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn expire(&self) {
        let now = self.now();
        if self.lock().store.expire(now) {
            self.notify_watches();
        }
    }

    fn notify_watches(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    // Counts a call and returns whether the rate limits allow it.
    fn admit(&self, kind: CallKind) -> Admission {
        let second = self.started.elapsed().as_secs();
        let mut state = self.lock();
        if state.current_second != second {
            state.current_second = second;
            (state.writes_in_second, state.reads_in_second) = (0, 0);
        }
        match kind {
            CallKind::Read => state.counts.reads += 1,
            CallKind::Watch => state.counts.watches += 1,
            CallKind::Write => state.counts.writes += 1,
            CallKind::Lease => state.counts.leases += 1,
        }
        let limited = match kind {
            CallKind::Read | CallKind::Watch => {
                state.reads_in_second += 1;
                self.options.reads_per_second < state.reads_in_second
            }
            CallKind::Write | CallKind::Lease => {
                state.writes_in_second += 1;
                self.options.writes_per_second < state.writes_in_second
            }
        };
        if !limited {
            return Admission::Accepted;
        }
        state.counts.limited += 1;
        Admission::Limited
    }

    async fn respond(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let faults = self.switches.delay_call().await;
        if faults.outage {
            return reply::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let (parts, body) = req.into_parts();
        let path = parts.uri.path().trim_start_matches('/').to_owned();
        let (operation, argument) = path.split_once('/').unwrap_or((&path, ""));
        let Some(kind) = call_kind(operation, &parts.method) else {
            return reply::status(StatusCode::NOT_FOUND);
        };
        if self.admit(kind) == Admission::Limited {
            return reply::status(StatusCode::TOO_MANY_REQUESTS);
        }
        self.expire();
        let Ok(value) = reply::read(body).await else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        if MAX_VALUE_BYTES < value.len() {
            return reply::status(StatusCode::PAYLOAD_TOO_LARGE);
        }
        match kind {
            CallKind::Watch => self.watch(argument).await,
            CallKind::Read if operation == "list" => reply::json(&self.lock().store.list(argument)),
            CallKind::Read => value_response(StatusCode::OK, &self.lock().store.get(argument)),
            CallKind::Lease => self.lease(&parts.method, argument),
            CallKind::Write => {
                let write = Write {
                    key: argument.to_owned(),
                    expected: Version(
                        header_number(&parts.headers, EXPECTED_VERSION_HEADER).unwrap_or(0),
                    ),
                    lease: header_number(&parts.headers, LEASE_HEADER).map(LeaseId),
                    value: (parts.method == Method::PUT).then_some(value),
                };
                self.write(write, faults)
            }
        }
    }

    fn write(self: &Arc<Self>, write: Write, faults: Faults) -> Response<Body> {
        if !self.switches.should_lose_reply() {
            return self.apply(write);
        }
        if faults.late_ms == 0 {
            self.apply(write);
            return reply::status(StatusCode::GATEWAY_TIMEOUT);
        }
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
            shared.apply(write);
        });
        reply::status(StatusCode::GATEWAY_TIMEOUT)
    }

    fn apply(&self, write: Write) -> Response<Body> {
        let mut state = self.lock();
        let outcome = match write.value {
            Some(value) => state.store.put_if(&write.key, write.expected, value, write.lease),
            None => Some(state.store.remove_if(&write.key, write.expected)),
        };
        drop(state);
        match outcome {
            None => reply::status(StatusCode::NOT_FOUND),
            Some(CasOutcome::Conflict(current)) => value_response(StatusCode::CONFLICT, &current),
            Some(CasOutcome::Written(version)) => {
                self.notify_watches();
                value_response(StatusCode::OK, &Versioned { version, value: Default::default() })
            }
        }
    }

    fn lease(&self, method: &Method, argument: &str) -> Response<Body> {
        let Ok(ttl_ms_or_id) = argument.parse() else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        let now = self.now();
        let mut state = self.lock();
        if *method == Method::POST {
            return reply::json(&state.store.grant(now, Duration::from_millis(ttl_ms_or_id)));
        }
        if state.store.renew(now, LeaseId(ttl_ms_or_id)) {
            return reply::status(StatusCode::OK);
        }
        reply::status(StatusCode::NOT_FOUND)
    }

    async fn watch(&self, argument: &str) -> Response<Body> {
        let mut parts = argument.splitn(3, '/');
        let after = parts.next().and_then(|after| after.parse().ok()).unwrap_or(0);
        let wait = parts.next().and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let prefix = parts.next().unwrap_or("").to_owned();
        let deadline = Instant::now() + Duration::from_millis(wait).min(MAX_WATCH_TIME);
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            self.expire();
            let changes = self.lock().store.changes(&prefix, Version(after));
            if !changes.is_empty() || deadline <= Instant::now() {
                return reply::json(&changes);
            }
            // A lease may expire while no call arrives, so the watch checks again at intervals.
            let next_check = deadline.min(Instant::now() + Duration::from_millis(100));
            let _ = tokio::time::timeout_at(next_check, changed.changed()).await;
        }
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(self.respond(req))
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
    Lease,
    Watch,
}

#[derive(PartialEq, Eq)]
enum Admission {
    Accepted,
    Limited,
}

struct Write {
    key: String,
    expected: Version,
    lease: Option<LeaseId>,
    /// The new value; `None` removes the key.
    value: Option<bytes::Bytes>,
}

fn call_kind(operation: &str, method: &Method) -> Option<CallKind> {
    match (operation, method) {
        ("kv", &Method::GET) | ("list", &Method::GET) => Some(CallKind::Read),
        ("kv", &Method::PUT) | ("kv", &Method::DELETE) => Some(CallKind::Write),
        ("lease", &Method::POST) | ("lease", &Method::PUT) => Some(CallKind::Lease),
        ("watch", &Method::GET) => Some(CallKind::Watch),
        _ => None,
    }
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn value_response(status: StatusCode, current: &Versioned) -> Response<Body> {
    let mut response = Response::new(full(current.value.clone()));
    *response.status_mut() = status;
    response.headers_mut().insert(VERSION_HEADER, current.version.0.into());
    response
}
