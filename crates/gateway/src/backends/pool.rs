//! The connections to one backend server.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::AtomicU32},
    time::Duration,
};

use bulrushhall_core::Stamp;

use crate::backends::{Connection, OpenError};

/// How long a connection is kept idle where the backend server does not tell how long it keeps it.
const IDLE_UNTOLD: Duration = Duration::from_secs(3);
/// How much sooner than the backend server this node gives an idle connection up. A request sent
/// just as the server closes is lost: nobody can tell whether it ran.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// A `Pool` holds the connections to one backend server.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    open: Arc<AtomicU32>,
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Stamp,
}

impl Pool {
    /// Returns a pool without connections.
    pub fn new(address: SocketAddr) -> Pool {
        Pool { address, open: Arc::default(), idle: Mutex::default() }
    }

    /// Returns the connection that was used last, or opens one; at most `most` are open at once.
    pub async fn take(&self, now: Stamp, most: u32) -> Result<Connection, OpenError> {
        if let Some(connection) = self.take_idle(now) {
            return Ok(connection);
        }
        Connection::open(self.address, Arc::clone(&self.open), most).await
    }

    /// Keeps a connection whose answer has ended, for as long as the backend server keeps it.
    pub fn keep(&self, now: Stamp, mut connection: Connection, idle: Option<Duration>) {
        let for_how_long = idle.map_or(IDLE_UNTOLD, |idle| idle.saturating_sub(IDLE_MARGIN));
        connection.reused = true;
        self.lock(|kept| kept.push(Idle { connection, until: now + for_how_long }));
    }

    /// Closes the idle connections: what silenced one of them mostly silenced all.
    pub fn close_idle(&self) {
        self.lock(Vec::clear);
    }

    fn take_idle(&self, now: Stamp) -> Option<Connection> {
        self.lock(|kept| {
            // Those used longest ago are given up first, so that few are kept.
            kept.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
            let at = kept.iter().rposition(|idle| idle.connection.is_ready())?;
            Some(kept.remove(at).connection)
        })
    }

    fn lock<T>(&self, act: impl FnOnce(&mut Vec<Idle>) -> T) -> T {
        act(&mut self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }
}
