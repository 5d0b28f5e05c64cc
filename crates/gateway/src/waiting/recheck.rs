//! Whether a request that has waited may still be sent.

use std::sync::Arc;

use crate::{
    gateway::{Gateway, Phase},
    pipeline::{Failure, IdentifiedRequest},
};

/// Checks a request that has waited against the shutdown and the configuration: its key may have been revoked meanwhile, and its
/// route removed.
pub fn recheck(gateway: &Gateway, req: &IdentifiedRequest) -> Result<(), Failure> {
    if gateway.phase() == Phase::Draining {
        return Err(Failure::Leaving);
    }
    if gateway.is_outdated() {
        return Err(Failure::ConfigUnknown);
    }
    if req.team.is_some() && !gateway.may_use_keys() {
        return Err(Failure::ConfigUnknown);
    }
    let table = gateway.table.load_full().ok_or(Failure::ConfigUnknown)?;
    if Arc::ptr_eq(&table, &req.table) {
        return Ok(());
    }
    let key = req.call.key.as_deref();
    if req.team.is_some() && key.and_then(|key| table.team(key)).is_none() {
        return Err(Failure::UnknownKey);
    }
    let service = req.service().ok_or(Failure::NoBackend)?;
    if table.services.contains_key(service) { Ok(()) } else { Err(Failure::NoRoute) }
}
