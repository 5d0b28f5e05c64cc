//! The open connections of a port.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use slotmap::{SlotMap, new_key_type};
use tokio::{sync::Notify, time::Instant};

use crate::http::NodeMemory;

/// The time after which a connection whose client doesn't read its response may be closed for another one.
const MAX_BLOCKED: Duration = Duration::from_secs(2);
/// The value of `blocked_since` if the last write was accepted.
const NOT_BLOCKED: u64 = u64::MAX;

/// The memory of a connection, in bytes: what has been read of a head or of a small body, what the body's reader has not
/// taken yet, what is written, and its state.
const MAX_CONNECTION_BYTES: usize = 48 * 1_024;

/// A `PortShare` is the part of a node's memory that the connections of a port may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PortShare {
    /// The part.
    pub share: f64,
    /// The least number of connections.
    pub min: usize,
    /// The greatest number of connections.
    pub max: usize,
}

impl PortShare {
    /// Returns how many connections a port may have on a node with some memory.
    pub fn connections(&self, memory: NodeMemory) -> usize {
        let count = memory.share(self.share) / MAX_CONNECTION_BYTES;
        count.clamp(self.min, self.max)
    }
}

new_key_type! {
    /// A `ConnectionKey` is the key of an open connection.
    struct ConnectionKey;
}

/// `Connections` are the open connections of a port, of which there are at most so many.
#[derive(Clone, Debug)]
pub struct Connections {
    max: usize,
    opened: Instant,
    open: Arc<Mutex<SlotMap<ConnectionKey, Arc<ConnectionState>>>>,
}

/// A `ConnectionState` is what a connection waits for, and since when.
#[derive(Debug)]
pub struct ConnectionState {
    opened: Instant,
    is_serving: AtomicBool,
    since: AtomicU64,
    blocked_since: AtomicU64,
    requests: AtomicUsize,
    /// How many heads have arrived whose response or body has not ended.
    unended: AtomicUsize,
    is_closing: AtomicBool,
    closing: Notify,
}

/// An `OpenConnection` is the place of an open connection, until it is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Connections,
    key: ConnectionKey,
    state: Arc<ConnectionState>,
}

/// A `ServedRequest` marks the end of a response when it is dropped.
#[derive(Debug)]
pub struct ServedRequest {
    state: Arc<ConnectionState>,
}

/// A `ReadBody` marks the end of the body of a request when it is dropped.
#[derive(Debug)]
pub struct ReadBody {
    state: Arc<ConnectionState>,
}

/// A `CloseReason` is why a port closed a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Another one took the place of a connection that has waited the longest for its client.
    Replaced,
    /// All connections of the port are serving requests.
    NoPlace,
    /// There is no memory for the head of a request.
    NoMemory,
}

impl CloseReason {
    /// Returns its label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CloseReason::Replaced => "replaced",
            CloseReason::NoPlace => "no_place",
            CloseReason::NoMemory => "no_memory",
        }
    }
}

impl Connections {
    /// Returns the connections of a port that has none yet.
    pub fn new(max: usize) -> Connections {
        Connections { max, opened: Instant::now(), open: Arc::default() }
    }

    /// Adds a connection. If there are too many, the one that has waited the longest for its client is closed; if all are
    /// serving requests, the new one has no place.
    pub fn add(&self) -> (Option<OpenConnection>, Option<CloseReason>) {
        let mut open = self.lock();
        let count = open.values().filter(|state| !state.is_closing()).count();
        let mut closed = None;
        if self.max <= count {
            let now = self.now();
            let waiting = open.values().filter(|state| state.waits_for_client(now));
            let Some(longest) = waiting.min_by_key(|state| state.since()) else {
                return (None, Some(CloseReason::NoPlace));
            };
            longest.close();
            closed = Some(CloseReason::Replaced);
        }
        let state = Arc::new(ConnectionState::new(self.opened, self.now()));
        let key = open.insert(Arc::clone(&state));
        drop(open);
        (Some(OpenConnection { connections: self.clone(), key, state }), closed)
    }

    fn now(&self) -> u64 {
        millis(self.opened)
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<ConnectionKey, Arc<ConnectionState>>> {
        self.open.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl OpenConnection {
    /// Returns the state.
    pub fn state(&self) -> &Arc<ConnectionState> {
        &self.state
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.lock().remove(self.key);
    }
}

impl ConnectionState {
    fn new(opened: Instant, now: u64) -> ConnectionState {
        ConnectionState {
            opened,
            is_serving: AtomicBool::new(false),
            since: AtomicU64::new(now),
            blocked_since: AtomicU64::new(NOT_BLOCKED),
            requests: AtomicUsize::new(0),
            unended: AtomicUsize::new(0),
            is_closing: AtomicBool::new(false),
            closing: Notify::new(),
        }
    }

    /// Notes that a head has arrived; the rest of the request may still be awaited.
    pub fn begin_request(self: &Arc<Self>) -> ServedRequest {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.set_serving(false);
        self.unended.fetch_add(1, Ordering::Relaxed);
        ServedRequest { state: Arc::clone(self) }
    }

    /// Notes that the body of a request may be read until the result is dropped.
    pub fn begin_body(self: &Arc<Self>) -> ReadBody {
        self.unended.fetch_add(1, Ordering::Relaxed);
        ReadBody { state: Arc::clone(self) }
    }

    /// Returns whether what arrives may belong to a body.
    pub fn is_in_request(&self) -> bool {
        0 < self.unended.load(Ordering::Relaxed)
    }

    /// Notes that the whole request has arrived.
    pub fn begin_serving(&self) {
        self.set_serving(true);
    }

    /// Returns how many heads have arrived.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Notes whether the client accepts what is written.
    pub fn note_written(&self, is_accepted: bool) {
        let blocked_since = self.blocked_since.load(Ordering::Relaxed);
        match (is_accepted, blocked_since == NOT_BLOCKED) {
            (true, false) => self.blocked_since.store(NOT_BLOCKED, Ordering::Relaxed),
            (false, true) => self.blocked_since.store(millis(self.opened), Ordering::Relaxed),
            _ => {}
        }
    }

    /// Waits until the connection is to be closed.
    pub async fn closing(&self) {
        self.closing.notified().await;
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
        self.closing.notify_one();
    }

    fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    fn since(&self) -> u64 {
        self.since.load(Ordering::Relaxed)
    }

    fn waits_for_client(&self, now: u64) -> bool {
        let blocked_since = self.blocked_since.load(Ordering::Relaxed);
        let is_blocked = blocked_since != NOT_BLOCKED
            && MAX_BLOCKED.as_millis() <= u128::from(now.saturating_sub(blocked_since));
        !self.is_closing() && (is_blocked || !self.is_serving.load(Ordering::Relaxed))
    }

    fn set_serving(&self, is_serving: bool) {
        self.is_serving.store(is_serving, Ordering::Relaxed);
        self.since.store(millis(self.opened), Ordering::Relaxed);
    }
}

impl ReadBody {
    /// Notes that the whole request has arrived.
    pub fn begin_serving(&self) {
        self.state.begin_serving();
    }
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        self.state.set_serving(false);
        self.state.unended.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for ReadBody {
    fn drop(&mut self) {
        self.state.unended.fetch_sub(1, Ordering::Relaxed);
    }
}

fn millis(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
