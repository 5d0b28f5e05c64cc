//! Whether a connection is open, for those that don't use it.

use tokio::time::Instant;

use crate::http::read_watch::ReadWatch;

/// A `ConnectionWatch` tells whether a connection to a server is open.
#[derive(Clone, Debug)]
pub struct ConnectionWatch {
    reads: ReadWatch,
}

impl ConnectionWatch {
    pub(crate) fn new(reads: ReadWatch) -> ConnectionWatch {
        ConnectionWatch { reads }
    }

    /// Returns whether the server has not closed the connection. It is false while bytes have arrived that were not read,
    /// as the end may be behind them.
    pub fn is_open(&self) -> bool {
        self.reads.is_drained()
    }

    /// Returns when bytes arrived last.
    pub fn read_at(&self) -> Option<Instant> {
        self.reads.read_at()
    }

    /// Returns when the server closed the connection.
    pub fn closed_at(&self) -> Option<Instant> {
        self.reads.ended_at()
    }
}
