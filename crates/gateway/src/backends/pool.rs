//! The connection pool of one backend server.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::AtomicU32},
    time::Duration,
};

use bulrushhall_core::Stamp;

use crate::backends::{Connection, OpenError, Witnesses};

/// The idle timeout of a connection if the backend server does not announce its own.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// How much earlier than the backend server this node closes an idle connection. A request that is sent
/// while the server closes the connection is lost, and it is unknown whether it ran.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// A `Pool` holds the connections to one backend server.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    open: Arc<AtomicU32>,
    idle: Mutex<Vec<Idle>>,
    witnesses: Witnesses,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Stamp,
}

/// Returns for how long a connection is kept that is not used; `idle` is the server's idle timeout.
pub fn idle_time(idle: Option<Duration>) -> Duration {
    idle.map_or(DEFAULT_IDLE_TIMEOUT, |idle| idle.saturating_sub(IDLE_MARGIN))
}

impl Pool {
    /// Returns a pool without connections.
    pub fn new(address: SocketAddr) -> Pool {
        Pool {
            address,
            open: Arc::default(),
            idle: Mutex::default(),
            witnesses: Witnesses::default(),
        }
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the most recently used idle connection, or opens one; at most `max` may be open.
    pub async fn take(&self, now: Stamp, max: u32) -> Result<Connection, OpenError> {
        if let Some(connection) = self.take_idle(now) {
            return Ok(connection);
        }
        self.open(max).await
    }

    /// Opens a connection; at most `max` may be open.
    pub async fn open(&self, max: u32) -> Result<Connection, OpenError> {
        let connection = Connection::open(self.address, Arc::clone(&self.open), max).await?;
        self.witnesses.add(connection.life());
        Ok(connection)
    }

    /// Returns its connections as evidence that the server lives on.
    pub fn witnesses(&self) -> &Witnesses {
        &self.witnesses
    }

    /// Opens a connection in addition to those that are open, and keeps it for the next request.
    pub async fn probe(&self, now: Stamp) -> Result<(), OpenError> {
        let connection = self.open(u32::MAX).await?;
        self.keep(now, connection, None);
        Ok(())
    }

    /// Returns a connection to the pool after its response has ended; `idle` is the server's idle timeout.
    pub fn keep(&self, now: Stamp, mut connection: Connection, idle: Option<Duration>) {
        connection.reused = true;
        let until = now + idle_time(idle);
        self.lock(|idle_connections| idle_connections.push(Idle { connection, until }));
    }

    /// Closes the idle connections: the cause that made one connection silent usually affects all.
    pub fn close_idle(&self) {
        self.lock(Vec::clear);
    }

    fn take_idle(&self, now: Stamp) -> Option<Connection> {
        self.lock(|idle_connections| {
            // The most recently used one is taken, so that the others reach their idle timeout and few are
            // kept open.
            idle_connections.retain(|idle| now < idle.until && !idle.connection.is_closed());
            let at = idle_connections.iter().rposition(|idle| idle.connection.is_ready())?;
            Some(idle_connections.remove(at).connection)
        })
    }

    fn lock<T>(&self, act: impl FnOnce(&mut Vec<Idle>) -> T) -> T {
        act(&mut self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }
}
