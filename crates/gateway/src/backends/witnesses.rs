//! Connections that show that a backend server lives on.

use std::sync::{
    Arc, Mutex, MutexGuard, Weak,
    atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};

use bulrushhall_core::Stamp;

use crate::backends::{Connection, ConnectionLife};

/// `Witnesses` are the connections to one backend server, as evidence that its process lives on: when a process dies, all its
/// connections end at once.
#[derive(Debug, Default)]
pub struct Witnesses {
    lives: Mutex<Vec<Weak<ConnectionLife>>>,
    /// A connection that carries no requests of callers.
    pub spare: tokio::sync::Mutex<Option<Connection>>,
    spare_life: Mutex<Option<Arc<ConnectionLife>>>,
    /// When this node closes the spare connection, before its server does because it is idle, in microseconds.
    spare_until: AtomicU64,
    /// The unmarked answers that are being received.
    pub unmarked: AtomicU32,
    /// Whether a task keeps the spare connection.
    pub is_kept: AtomicBool,
    has_responded: AtomicBool,
    ignores_probes: AtomicBool,
    /// The latest time at which the process was proven to live, in microseconds.
    lived_at: AtomicU64,
}

impl Witnesses {
    /// Adds a connection.
    pub fn add(&self, life: &Arc<ConnectionLife>) {
        let mut lives = lock(&self.lives);
        lives.retain(|life| life.strong_count() != 0);
        lives.push(Arc::downgrade(life));
    }

    /// Returns the connections without one of them.
    pub fn others(&self, own: &Arc<ConnectionLife>) -> Vec<Arc<ConnectionLife>> {
        let lives = lock(&self.lives);
        lives.iter().filter_map(Weak::upgrade).filter(|life| !Arc::ptr_eq(life, own)).collect()
    }

    /// Returns the spare connection, open or not.
    pub fn spare_life(&self) -> Option<Arc<ConnectionLife>> {
        lock(&self.spare_life).clone()
    }

    /// Replaces the spare connection.
    pub fn set_spare(&self, spare: &mut Option<Connection>, connection: Option<Connection>) {
        if let Some(connection) = &connection {
            *lock(&self.spare_life) = Some(Arc::clone(connection.life()));
        }
        *spare = connection;
    }

    /// Sets when the spare connection has been idle for too long.
    pub fn keep_spare_until(&self, until: Stamp) {
        self.spare_until.store(until.0, Ordering::Relaxed);
    }

    /// Returns when the spare connection has been idle for too long.
    pub fn spare_until(&self) -> Stamp {
        Stamp(self.spare_until.load(Ordering::Relaxed))
    }

    /// Notes whether the server responded to a request that it does not run.
    pub fn note_probe(&self, has_responded: bool) {
        if has_responded {
            self.has_responded.store(true, Ordering::Relaxed);
        }
        let ignores = !self.has_responded.load(Ordering::Relaxed);
        self.ignores_probes.store(ignores, Ordering::Relaxed);
    }

    /// Returns whether the server has responded to such a request.
    pub fn has_responded(&self) -> bool {
        self.has_responded.load(Ordering::Relaxed)
    }

    /// Returns whether the server takes such requests, and has never responded to one.
    pub fn ignores_probes(&self) -> bool {
        self.ignores_probes.load(Ordering::Relaxed)
    }

    /// Notes that the process lived at a time.
    pub fn note_lived(&self, at: Stamp) {
        self.lived_at.fetch_max(at.0, Ordering::Relaxed);
    }

    /// Returns the latest time at which the process was proven to live.
    pub fn lived_at(&self) -> Stamp {
        Stamp(self.lived_at.load(Ordering::Relaxed))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
