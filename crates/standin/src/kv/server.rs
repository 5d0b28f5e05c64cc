//! The key-value service behind HTTP, with rate limits and fault switches.

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

/// The longest time that a watch waits.
const WATCH_MAX: Duration = Duration::from_secs(60);

/// `KvOptions` are the caps of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvOptions {
    /// Writes taken in a second, lease calls included.
    pub writes_per_second: u64,
    /// Reads taken in a second, waiting watches included.
    pub reads_per_second: u64,
    /// The seed that decides which replies are lost.
    pub seed: u64,
}

/// A `KvServer` is a stand-in key-value service on a loopback port.
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
    second: u64,
    writes: u64,
    reads: u64,
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

    /// Returns the calls counted so far.
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
            self.notify();
        }
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    // Counts a call and tells whether the rate limits let it pass.
    fn admit(&self, kind: Kind) -> Admission {
        let second = self.started.elapsed().as_secs();
        let mut state = self.lock();
        if state.second != second {
            state.second = second;
            (state.writes, state.reads) = (0, 0);
        }
        match kind {
            Kind::Read => state.counts.reads += 1,
            Kind::Watch => state.counts.watches += 1,
            Kind::Write => state.counts.writes += 1,
            Kind::Lease => state.counts.leases += 1,
        }
        let limited = match kind {
            Kind::Read | Kind::Watch => {
                state.reads += 1;
                self.options.reads_per_second < state.reads
            }
            Kind::Write | Kind::Lease => {
                state.writes += 1;
                self.options.writes_per_second < state.writes
            }
        };
        if !limited {
            return Admission::Pass;
        }
        state.counts.limited += 1;
        Admission::Limited
    }

    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let faults = self.switches.enter().await;
        if faults.outage {
            return reply::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let (parts, body) = req.into_parts();
        let path = parts.uri.path().trim_start_matches('/').to_owned();
        let (verb, rest) = path.split_once('/').unwrap_or((&path, ""));
        let Some(kind) = kind_of(verb, &parts.method) else {
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
            Kind::Watch => self.watch(rest).await,
            Kind::Read if verb == "list" => reply::json(&self.lock().store.list(rest)),
            Kind::Read => versioned(StatusCode::OK, &self.lock().store.get(rest)),
            Kind::Lease => self.lease(&parts.method, rest),
            Kind::Write => {
                let write = Write {
                    key: rest.to_owned(),
                    expected: Version(number(&parts.headers, EXPECTED_VERSION_HEADER).unwrap_or(0)),
                    lease: number(&parts.headers, LEASE_HEADER).map(LeaseId),
                    value: (parts.method == Method::PUT).then_some(value),
                };
                self.write(write, faults)
            }
        }
    }

    fn write(self: &Arc<Self>, write: Write, faults: Faults) -> Response<Body> {
        if !self.switches.loses_reply() {
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
            Some(CasOutcome::Conflict(found)) => versioned(StatusCode::CONFLICT, &found),
            Some(CasOutcome::Written(version)) => {
                self.notify();
                versioned(StatusCode::OK, &Versioned { version, value: Default::default() })
            }
        }
    }

    fn lease(&self, method: &Method, rest: &str) -> Response<Body> {
        let Ok(number) = rest.parse() else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        let now = self.now();
        let mut state = self.lock();
        if *method == Method::POST {
            return reply::json(&state.store.grant(now, Duration::from_millis(number)));
        }
        if state.store.renew(now, LeaseId(number)) {
            return reply::status(StatusCode::OK);
        }
        reply::status(StatusCode::NOT_FOUND)
    }

    async fn watch(&self, rest: &str) -> Response<Body> {
        let mut parts = rest.splitn(3, '/');
        let after = parts.next().and_then(|after| after.parse().ok()).unwrap_or(0);
        let wait = parts.next().and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let prefix = parts.next().unwrap_or("").to_owned();
        let until = Instant::now() + Duration::from_millis(wait).min(WATCH_MAX);
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            self.expire();
            let changes = self.lock().store.changes(&prefix, Version(after));
            if !changes.is_empty() || until <= Instant::now() {
                return reply::json(&changes);
            }
            // A lease may lapse while nobody calls, so the wait is cut into slices.
            let slice = until.min(Instant::now() + Duration::from_millis(100));
            let _ = tokio::time::timeout_at(slice, changed.changed()).await;
        }
    }
}

impl Handler for Shared {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(self.answer(req))
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    Write,
    Lease,
    Watch,
}

#[derive(PartialEq, Eq)]
enum Admission {
    Pass,
    Limited,
}

struct Write {
    key: String,
    expected: Version,
    lease: Option<LeaseId>,
    value: Option<bytes::Bytes>,
}

fn kind_of(verb: &str, method: &Method) -> Option<Kind> {
    match (verb, method) {
        ("kv", &Method::GET) | ("list", &Method::GET) => Some(Kind::Read),
        ("kv", &Method::PUT) | ("kv", &Method::DELETE) => Some(Kind::Write),
        ("lease", &Method::POST) | ("lease", &Method::PUT) => Some(Kind::Lease),
        ("watch", &Method::GET) => Some(Kind::Watch),
        _ => None,
    }
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn versioned(status: StatusCode, found: &Versioned) -> Response<Body> {
    let mut answer = Response::new(full(found.value.clone()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(VERSION_HEADER, found.version.0.into());
    answer
}
