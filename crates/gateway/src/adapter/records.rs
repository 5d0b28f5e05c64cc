//! What lies in the platform's key-value service in the platform's own form.

use std::{net::SocketAddr, time::Duration};

use bulrushhall_core::{ServiceName, ZoneName};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::table::RouteTable;

/// A `BackendState` tells whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendState {
    /// It does.
    Ready,
    /// It is leaving, after this time where it is known, and finishes what it has.
    Leaving(Option<Duration>),
}

/// A `BackendRecord` is what a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The requests that it serves at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: BackendState,
    /// Whether its VM can be taken back.
    pub reclaimable: bool,
    /// The start of its life; one that starts again under its name has another.
    pub born: Option<u64>,
}

/// A `RecordError` tells why something in the key-value service can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The bytes are not of the form that they should have.
    Malformed(String),
    /// A name is empty, too long or holds a byte that names may not hold.
    Name(String),
}

/// `Records` read what others write into the key-value service; they decide nothing.
pub trait Records: Send + Sync {
    /// Returns the key of the configuration.
    fn config_key(&self) -> &'static str;

    /// Returns the prefix of the keys of backend servers; the rest of a key is the server's name.
    fn backend_prefix(&self) -> &'static str;

    /// Reads the configuration.
    fn read_config(&self, value: &Bytes) -> Result<RouteTable, RecordError>;

    /// Reads the record of a backend server.
    fn read_backend(&self, value: &Bytes) -> Result<BackendRecord, RecordError>;
}
