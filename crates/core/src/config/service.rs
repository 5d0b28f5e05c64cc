//! The services and the engines behind those that run models.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::config::{BackendAddress, CommaList};

/// The methods whose calls are idempotent unless a service says otherwise.
const IDEMPOTENT_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// A `ServiceType` tells what kind of backend servers a service has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceType {
    /// Model engines.
    #[default]
    Model,
    /// Plain services, whose calls are passed through.
    Plain,
}

/// A `Fencing` tells whether backend servers compare fencing numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// Backend servers take every order, whatever its fencing number.
    #[default]
    Ignored,
    /// Backend servers refuse an order with an old fencing number.
    Checked,
}

/// A `ServiceConfig` describes one service and its backend servers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceConfig {
    /// What kind of backend servers the service has.
    #[serde(rename = "type")]
    pub service_type: ServiceType,
    /// Backend servers with fixed addresses, as `vm@zone@address`.
    #[serde_as(as = "CommaList")]
    pub backends: Vec<BackendAddress>,
    /// Paths whose calls may run at most once, for plain services.
    #[serde_as(as = "CommaList")]
    pub non_repeatable: Vec<String>,
    /// Methods whose calls may be repeated on all other paths.
    #[serde_as(as = "CommaList")]
    pub idempotent_methods: Vec<String>,
    /// Whether the backend servers compare fencing numbers.
    pub fencing: Fencing,
    /// How long a call of a plain service may take.
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
