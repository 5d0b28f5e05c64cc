//! Services and the types of their backend servers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::config::{BackendAddress, CommaList};

/// The methods whose calls are idempotent by default.
const IDEMPOTENT_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// A `ServiceType` is the kind of backend servers that a service has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceType {
    /// Model engines.
    #[default]
    Model,
    /// Plain services, to which calls are forwarded.
    Plain,
}

/// A `Fencing` states whether backend servers check fencing numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// Backend servers accept every order, regardless of its fencing number.
    #[default]
    Ignored,
    /// Backend servers reject an order with an outdated fencing number.
    Checked,
}

/// A `ServiceConfig` describes one service and its backend servers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceConfig {
    /// The kind of backend servers that the service has.
    #[serde(rename = "type")]
    pub service_type: ServiceType,
    /// Backend servers with fixed addresses, as `vm@zone@address`.
    #[serde_as(as = "CommaList")]
    pub backends: Vec<BackendAddress>,
    /// Prefixes of paths whose calls may run at most once, for plain services.
    #[serde_as(as = "CommaList")]
    pub non_repeatable: Vec<String>,
    /// Methods whose calls may be retried on all other paths.
    #[serde_as(as = "CommaList")]
    pub idempotent_methods: Vec<String>,
    /// Whether the backend servers check fencing numbers.
    pub fencing: Fencing,
    /// The time limit for a call to a plain service.
    #[serde_as(as = "DisplayFromStr")]
    pub timeout: humantime::Duration,
}

impl ServiceConfig {
    /// Returns whether a call may run more than once.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let listed = self.non_repeatable.iter().any(|prefix| path.starts_with(prefix.trim()));
        !listed && self.idempotent_methods.iter().any(|allowed| allowed.trim() == method)
    }
}

impl Default for ServiceConfig {
    fn default() -> Self {
        ServiceConfig {
            service_type: ServiceType::Model,
            backends: Vec::new(),
            non_repeatable: Vec::new(),
            idempotent_methods: IDEMPOTENT_METHODS.map(str::to_owned).into(),
            fencing: Fencing::Ignored,
            timeout: Duration::from_secs(10).into(),
        }
    }
}
