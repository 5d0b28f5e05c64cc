//! The life of a connection to a backend server.

use std::sync::OnceLock;

use bulrushhall_core::Stamp;
use bulrushhall_external::http::ConnectionWatch;
use tokio::time::Instant;

/// A `ConnectionLife` tells when a connection was opened, when the server first responded on it, and whether it is open.
#[derive(Debug)]
pub struct ConnectionLife {
    watch: ConnectionWatch,
    opened_at: Stamp,
    responded_at: OnceLock<Stamp>,
}

impl ConnectionLife {
    /// Returns the life of a connection that was just opened.
    pub fn new(watch: ConnectionWatch, opened_at: Stamp) -> ConnectionLife {
        ConnectionLife { watch, opened_at, responded_at: OnceLock::new() }
    }

    /// Returns when it was opened.
    pub fn opened_at(&self) -> Stamp {
        self.opened_at
    }

    /// Returns when the server first responded. Before that, the kernel may hold the connection for a process that has ended.
    pub fn responded_at(&self) -> Option<Stamp> {
        self.responded_at.get().copied()
    }

    /// Notes that the server has responded.
    pub fn note_response(&self, now: Stamp) {
        self.responded_at.get_or_init(|| now);
    }

    /// Returns whether the server has not closed it.
    pub fn is_open(&self) -> bool {
        self.watch.is_open()
    }

    /// Returns when bytes arrived last.
    pub fn read_at(&self) -> Option<Instant> {
        self.watch.read_at()
    }

    /// Returns when the server closed it.
    pub fn closed_at(&self) -> Option<Instant> {
        self.watch.closed_at()
    }
}
