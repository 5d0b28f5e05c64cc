//! The open connections of a port.

use std::sync::{Arc, Mutex, MutexGuard};

use slotmap::{SlotMap, new_key_type};
use tokio::time::Instant;

use crate::http::{CloseReason, ConnectionState, connection_state::millis};

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

/// An `OpenConnection` is the place of an open connection, until it is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Connections,
    key: ConnectionKey,
    state: Arc<ConnectionState>,
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
