//! The orders for roll-outs and their states in the key-value service of nodes that serve routes.

use std::{net::SocketAddr, sync::Arc};

use bulrushhall_coord::rollouts::{RolloutOrder, RolloutPhase};
use bulrushhall_core::{Ran, ServiceName};
use bulrushhall_external::{
    CallError, KeyValue,
    kv::{CasOutcome, Version, Versioned},
};
use bulrushhall_gateway::{
    adapter::{RecordError, Records},
    settings::EndpointSettings,
};
use serde::Serialize;

use crate::error::CliError;

/// A `RolloutEntry` is one roll-out as the key-value service holds it.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutEntry {
    /// The service.
    pub service: ServiceName,
    /// The target version of the order.
    pub target: String,
    /// The time within which it is to serve, in seconds.
    pub within_s: f64,
    /// The state; none before the holder of the duties has written one.
    pub state: Option<&'static str>,
}

/// A `RolloutStore` reads and writes orders for roll-outs.
pub struct RolloutStore {
    kv: Arc<dyn KeyValue>,
    records: Arc<dyn Records>,
}

impl RolloutStore {
    /// Returns the orders in the key-value service at an address.
    pub fn new(key_value: SocketAddr) -> RolloutStore {
        let endpoints = EndpointSettings { key_value, ..EndpointSettings::default() };
        let platform = bulrushhall_adapter::connect(&endpoints);
        RolloutStore { kv: platform.key_value, records: platform.records }
    }

    /// Returns all orders with their states.
    pub async fn list(&self) -> Result<Vec<RolloutEntry>, CliError> {
        let prefix = self.records.rollout_prefix();
        let listed = self.kv.list(prefix).await.map_err(CliError::KeyValue)?;
        let mut entries = Vec::new();
        for change in listed.changes {
            let service = change.key.strip_prefix(prefix).unwrap_or_default();
            // Another program may have written what is no order.
            let Ok(service) = ServiceName::new(service) else { continue };
            match self.get(&service).await {
                Ok(entry) => entries.push(entry),
                Err(CliError::RolloutNotFound(_) | CliError::Refused(_)) => continue,
                Err(error) => return Err(error),
            }
        }
        Ok(entries)
    }

    /// Returns the order for a service with its state.
    pub async fn get(&self, service: &ServiceName) -> Result<RolloutEntry, CliError> {
        let (_, order) = self.order(service).await?;
        let order = order.ok_or_else(|| CliError::RolloutNotFound(service.to_string()))?;
        let phase = self.phase(service, &order).await?;
        let (target, within_s) = (order.target, order.duration.as_secs_f64());
        let state = phase.map(phase_name);
        Ok(RolloutEntry { service: service.clone(), target, within_s, state })
    }

    /// Writes an order; one whose roll-out is in progress is replaced only with [`Replace::Yes`].
    pub async fn write(
        &self,
        service: &ServiceName,
        order: &RolloutOrder,
        replace: Replace,
    ) -> Result<(), CliError> {
        self.check_service(service).await?;
        let value = self.records.write_rollout(service, order).map_err(refused)?;
        // What can't be read does not serve as an order, so it may be overwritten.
        let (version, known) = match self.order(service).await {
            Err(CliError::Refused(_)) => (self.versioned(service).await?.version, None),
            found => found?,
        };
        if let (Some(known), Replace::No) = (known, replace) {
            let phase = self.phase(service, &known).await?;
            if phase.is_none_or(|phase| phase == RolloutPhase::InProgress) {
                let (service, target) = (service.to_string(), known.target);
                return Err(CliError::RolloutInProgress { service, target });
            }
        }
        let key = self.order_key(service);
        let written = self.kv.put_if(&key, version, value, None).await;
        self.changed(service, written)
    }

    /// Removes the order for a service, so that its roll-out is reverted.
    pub async fn remove(&self, service: &ServiceName) -> Result<(), CliError> {
        let version = self.versioned(service).await?.version;
        if version == Version(0) {
            return Err(CliError::RolloutNotFound(service.to_string()));
        }
        let removed = self.kv.remove_if(&self.order_key(service), version).await;
        self.changed(service, removed)
    }

    fn order_key(&self, service: &ServiceName) -> String {
        format!("{}{service}", self.records.rollout_prefix())
    }

    async fn versioned(&self, service: &ServiceName) -> Result<Versioned, CliError> {
        self.kv.get(&self.order_key(service)).await.map_err(CliError::KeyValue)
    }

    async fn order(
        &self,
        service: &ServiceName,
    ) -> Result<(Version, Option<RolloutOrder>), CliError> {
        let found = self.versioned(service).await?;
        if found.version == Version(0) {
            return Ok((found.version, None));
        }
        let order = self.records.read_rollout(service, &found.value).map_err(refused)?;
        Ok((found.version, Some(order)))
    }

    // The state of an earlier order has another target version, or can't be read.
    async fn phase(
        &self,
        service: &ServiceName,
        order: &RolloutOrder,
    ) -> Result<Option<RolloutPhase>, CliError> {
        let key = self.records.rollout_status_key(service);
        let found = self.kv.get(&key).await.map_err(CliError::KeyValue)?;
        let status = self.records.read_rollout_status(&found.value).ok();
        Ok(status.filter(|(target, _)| *target == order.target).map(|(_, phase)| phase))
    }

    async fn check_service(&self, service: &ServiceName) -> Result<(), CliError> {
        let found = self.kv.get(self.records.config_key()).await.map_err(CliError::KeyValue)?;
        let table = self.records.read_config(&found.value).map_err(refused)?;
        let known = table.services.contains_key(service);
        known.then_some(()).ok_or_else(|| CliError::ServiceNotFound(service.to_string()))
    }

    fn changed(
        &self,
        service: &ServiceName,
        outcome: Result<CasOutcome, CallError>,
    ) -> Result<(), CliError> {
        match outcome {
            Ok(CasOutcome::Written(_)) => Ok(()),
            Ok(CasOutcome::Conflict(_)) => Err(CliError::RolloutChanged(service.to_string())),
            Err(error) if error.ran == Ran::Unknown => Err(CliError::OutcomeUnknown),
            Err(error) => Err(CliError::KeyValue(error)),
        }
    }
}

/// Whether an order may replace one whose roll-out is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replace {
    /// It may.
    Yes,
    /// It may not.
    No,
}

fn phase_name(phase: RolloutPhase) -> &'static str {
    match phase {
        RolloutPhase::InProgress => "in_progress",
        RolloutPhase::Completed => "completed",
        RolloutPhase::Reverted => "reverted",
    }
}

fn refused(error: RecordError) -> CliError {
    CliError::Refused(match error {
        RecordError::Malformed(why) => format!("the record is malformed: {why}"),
        RecordError::Name(name) => format!("{name:?} is not a valid name"),
        RecordError::Range(what) => format!("{what} is out of its range"),
    })
}
