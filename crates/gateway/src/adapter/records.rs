//! The platform's format of records in its key-value service.

use std::{net::SocketAddr, time::Duration};

use bulrushhall_coord::rollouts::{RolloutOrder, RolloutPhase};
use bulrushhall_core::{ServiceName, ZoneName};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::table::RouteTable;

/// A `BackendState` is the state that a backend server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendState {
    /// It accepts new work.
    Ready,
    /// It drains and will stop, after this time if that is known.
    Leaving(Option<Duration>),
}

/// A `BackendRecord` is a backend server's registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// Its service.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The number of requests that it serves concurrently.
    pub slots: u32,
    /// Its state.
    pub state: BackendState,
    /// Whether the cloud may reclaim its VM.
    pub reclaimable: bool,
    /// Its start time, which distinguishes its incarnations under one name.
    pub born: Option<u64>,
    /// The version of its software.
    #[serde(default)]
    pub version: String,
    /// The number of the record among those that this incarnation has written.
    #[serde(default)]
    pub sequence: Option<u64>,
}

impl BackendRecord {
    /// Returns whether the record is of the same incarnation as `other`.
    pub fn is_same_incarnation(&self, other: &BackendRecord) -> bool {
        self.address == other.address && self.service == other.service && self.born == other.born
    }

    /// Returns whether both records say the same, apart from their numbers.
    pub fn says_same(&self, other: &BackendRecord) -> bool {
        let numbered = BackendRecord { sequence: self.sequence, ..other.clone() };
        *self == numbered
    }

    /// Returns whether the same incarnation wrote the record before `other`. Without a start time,
    /// numbers may have begun anew.
    pub fn is_before(&self, other: &BackendRecord) -> bool {
        let is_numbered = self.sequence.is_some() && other.sequence.is_some();
        self.born.is_some()
            && self.is_same_incarnation(other)
            && is_numbered
            && self.sequence < other.sequence
    }
}

/// A `RecordError` is the reason why a value of the key-value service can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The value can't be parsed.
    Malformed(String),
    /// A name is empty, too long or contains an invalid byte.
    Name(String),
    /// A number is out of its range.
    Range(&'static str),
}

/// `Records` parse the platform's values in the key-value service; they make no decisions.
pub trait Records: Send + Sync {
    /// Returns the key of the configuration.
    fn config_key(&self) -> &'static str;

    /// Returns the common prefix of the keys that operators write.
    fn operator_prefix(&self) -> &'static str;

    /// Returns the prefix of the keys of orders for roll-outs; the rest of a key is the service.
    fn rollout_prefix(&self) -> &'static str;

    /// Returns the key of the state of a service's roll-out.
    fn rollout_status_key(&self, service: &ServiceName) -> String;

    /// Parses an order for a roll-out of a service.
    fn read_rollout(
        &self,
        service: &ServiceName,
        value: &Bytes,
    ) -> Result<RolloutOrder, RecordError>;

    /// Returns the record of an order for a roll-out of a service.
    fn write_rollout(
        &self,
        service: &ServiceName,
        order: &RolloutOrder,
    ) -> Result<Bytes, RecordError>;

    /// Parses the state of a roll-out, with its target version.
    fn read_rollout_status(&self, value: &Bytes) -> Result<(String, RolloutPhase), RecordError>;

    /// Returns the record of the state of a roll-out.
    fn write_rollout_status(&self, target: &str, phase: RolloutPhase) -> Bytes;

    /// Returns the prefix of the keys of backend servers; the rest of a key is the server's name.
    fn backend_prefix(&self) -> &'static str;

    /// Parses the configuration.
    fn read_config(&self, value: &Bytes) -> Result<RouteTable, RecordError>;

    /// Parses the record of a backend server.
    fn read_backend(&self, value: &Bytes) -> Result<BackendRecord, RecordError>;
}
