//! The types of a deployment's configuration.

use std::{collections::BTreeMap, net::SocketAddr, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{
    DeserializeFromStr, DisplayFromStr, SerializeDisplay, StringWithSeparator,
    formats::CommaSeparator, serde_as,
};

use crate::name::{ClassName, ModelName, ServiceName, TeamName, VmName, ZoneName};

/// A `Deployment` is the whole configuration that is in force at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Deployment {
    /// The services, by name.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// The models, by name.
    pub models: BTreeMap<ModelName, ModelConfig>,
    /// The request classes, by name.
    pub classes: BTreeMap<ClassName, ClassConfig>,
    /// The teams, by name.
    pub teams: BTreeMap<TeamName, TeamConfig>,
    /// The availability zones, by name.
    pub zones: BTreeMap<ZoneName, ZoneConfig>,
    /// What weighs how much in decisions.
    pub weights: Weights,
}

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
    #[serde_as(as = "StringWithSeparator<CommaSeparator, BackendAddress>")]
    pub backends: Vec<BackendAddress>,
    /// Paths whose calls may run at most once, for plain services.
    #[serde_as(as = "StringWithSeparator<CommaSeparator, String>")]
    pub non_repeatable: Vec<String>,
    /// Whether the backend servers compare fencing numbers.
    pub fencing: Fencing,
    /// How long a call of a plain service may take.
    #[serde_as(as = "DisplayFromStr")]
    pub timeout: humantime::Duration,
}

/// A `BackendAddress` is a backend server with a fixed address, written `vm@zone@address`.
#[derive(Clone, Debug, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub struct BackendAddress {
    /// The VM that the backend server runs on.
    pub vm: VmName,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// Where the backend server listens.
    pub address: SocketAddr,
}

/// A `ModelConfig` describes one model.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ModelConfig {
    /// The service whose engines run the model.
    #[serde_as(as = "DisplayFromStr")]
    pub service: ServiceName,
    /// The version that callers get.
    pub version: String,
    /// The most tokens that one answer may have.
    #[serde_as(as = "DisplayFromStr")]
    pub max_tokens: u32,
}

/// A `ClassConfig` describes one kind of request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClassConfig {
    /// The priority; 0 is the most urgent.
    #[serde_as(as = "DisplayFromStr")]
    pub priority: u8,
    /// The time within which the first token is to come.
    #[serde_as(as = "DisplayFromStr")]
    pub first_token: humantime::Duration,
    /// The time within which the whole answer is to come.
    #[serde_as(as = "DisplayFromStr")]
    pub deadline: humantime::Duration,
}

/// A `TeamConfig` describes one team of callers.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TeamConfig {
    /// The team's share of capacity in relation to the other teams' shares.
    #[serde_as(as = "DisplayFromStr")]
    pub share: u32,
    /// The SHA-256 hash of the team's key, in hexadecimal; none means that no key is asked for.
    pub key_hash: Option<String>,
}

/// A `ZoneConfig` describes one availability zone.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ZoneConfig {
    /// The region that the availability zone lies in.
    pub region: String,
}

/// `Weights` tell how much each measure counts in decisions.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// The weight of cost.
    #[serde_as(as = "DisplayFromStr")]
    pub cost: f64,
    /// The weight of recomputed tokens.
    #[serde_as(as = "DisplayFromStr")]
    pub recomputed: f64,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        ServiceConfig {
            service_type: ServiceType::Model,
            backends: Vec::new(),
            non_repeatable: Vec::new(),
            fencing: Fencing::Ignored,
            timeout: Duration::from_secs(10).into(),
        }
    }
}

impl Default for ModelConfig {
    fn default() -> Self {
        let service = ServiceName::new("unset").unwrap_or_else(|_| unreachable!("a valid name"));
        ModelConfig { service, version: "1".to_owned(), max_tokens: 4_096 }
    }
}

impl Default for ClassConfig {
    fn default() -> Self {
        ClassConfig {
            priority: 1,
            first_token: Duration::from_millis(1_900).into(),
            deadline: Duration::from_secs(60).into(),
        }
    }
}

impl Default for TeamConfig {
    fn default() -> Self {
        TeamConfig { share: 1, key_hash: None }
    }
}

impl Default for ZoneConfig {
    fn default() -> Self {
        ZoneConfig { region: "main".to_owned() }
    }
}

impl Default for Weights {
    fn default() -> Self {
        Weights { cost: 1.0, recomputed: 1.0 }
    }
}

impl std::fmt::Display for BackendAddress {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}@{}@{}", self.vm, self.zone, self.address)
    }
}

/// A `BackendAddressError` is returned for text that is not of the form `vm@zone@address`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendAddressError {
    text: String,
}

impl std::fmt::Display for BackendAddressError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "malformed backend server {:?}, expected vm@zone@address", self.text)
    }
}

impl std::error::Error for BackendAddressError {}

impl FromStr for BackendAddress {
    type Err = BackendAddressError;

    fn from_str(text: &str) -> Result<BackendAddress, BackendAddressError> {
        let malformed = || BackendAddressError { text: text.to_owned() };
        let mut parts = text.trim().splitn(3, '@');
        let (Some(vm), Some(zone), Some(address)) = (parts.next(), parts.next(), parts.next())
        else {
            return Err(malformed());
        };
        Ok(BackendAddress {
            vm: VmName::new(vm).map_err(|_| malformed())?,
            zone: ZoneName::new(zone).map_err(|_| malformed())?,
            address: address.parse().map_err(|_| malformed())?,
        })
    }
}
