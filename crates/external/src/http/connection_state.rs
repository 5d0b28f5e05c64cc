//! What a connection waits for.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

/// The time after which a connection whose client doesn't read its response may be closed for another one.
const MAX_BLOCKED: Duration = Duration::from_secs(2);
/// The value of `blocked_since` if the last write was accepted.
const NOT_BLOCKED: u64 = u64::MAX;

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
    /// Whether a response has broken off whose end is that of the connection.
    is_broken: AtomicBool,
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

impl ConnectionState {
    pub(super) fn new(opened: Instant, now: u64) -> ConnectionState {
        ConnectionState {
            opened,
            is_serving: AtomicBool::new(false),
            since: AtomicU64::new(now),
            blocked_since: AtomicU64::new(NOT_BLOCKED),
            requests: AtomicUsize::new(0),
            unended: AtomicUsize::new(0),
            is_closing: AtomicBool::new(false),
            closing: Notify::new(),
            is_broken: AtomicBool::new(false),
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

    pub(super) fn is_broken(&self) -> bool {
        self.is_broken.load(Ordering::Relaxed)
    }

    pub(super) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    pub(super) fn since(&self) -> u64 {
        self.since.load(Ordering::Relaxed)
    }

    pub(super) fn waits_for_client(&self, now: u64) -> bool {
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

impl ServedRequest {
    /// Notes that the response has broken off, and that only the end of the connection would mark its end.
    pub fn note_broken(&self) {
        self.state.is_broken.store(true, Ordering::Relaxed);
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

/// Returns the milliseconds since some time.
pub(super) fn millis(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}
