//! The settings of a node that serves routes, as its INI file gives them.

use std::{net::SocketAddr, time::Duration};

use bulrushhall_core::{
    CoreError, NodeName, Result, ZoneName,
    config::{read_sections, read_single_section, unknown_sections},
    name::{Name, NameKind},
};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::fleet_settings::FleetSettings;

/// The kinds of sections that a settings file may have.
///
/// What is logged is read by the process that writes it.
pub const SECTION_KINDS: [&str; 6] = ["gateway", "ports", "endpoints", "bounds", "fleet", "log"];

/// The `Settings` of a node.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Who the node is.
    pub gateway: GatewaySettings,
    /// Where it listens.
    pub ports: PortSettings,
    /// Where the platform's services are.
    pub endpoints: EndpointSettings,
    /// Within which times and shares it keeps its promises.
    pub bounds: BoundSettings,
    /// How many engines it orders for a demand.
    pub fleet: FleetSettings,
}

/// `GatewaySettings` tell who the node is.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewaySettings {
    /// The name of the adapter of the platform.
    pub adapter: String,
    /// The node's name.
    pub name: NodeName,
    /// The availability zone of its VM.
    pub zone: ZoneName,
    /// Whether the whole system starts for the first time.
    #[serde_as(as = "DisplayFromStr")]
    pub first_start: bool,
}

/// `PortSettings` tell where the node listens.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PortSettings {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where callers ask which addresses to use.
    pub directory: SocketAddr,
    /// Where the platform asks whether the node is ready.
    pub readiness: SocketAddr,
    /// Where other nodes connect.
    pub peers: SocketAddr,
    /// Where monitoring reads the metrics.
    pub metrics: Option<SocketAddr>,
}

/// `EndpointSettings` tell where the platform's services are.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointSettings {
    /// The key-value service.
    pub key_value: SocketAddr,
    /// The cloud API.
    pub cloud: Option<SocketAddr>,
}

/// `BoundSettings` are the times and shares within which a deployment's promises are kept.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// After which time a key that was taken away may not be used any more, on any node.
    #[serde_as(as = "DisplayFromStr")]
    pub revocation: humantime::Duration,
    /// After which time a confirmed configuration is in force on all nodes.
    #[serde_as(as = "DisplayFromStr")]
    pub config_apply: humantime::Duration,
    /// How long the process may go on after it was told to stop.
    #[serde_as(as = "DisplayFromStr")]
    pub grace: humantime::Duration,
    /// The time within which two holders of a duty may not act by turns.
    #[serde_as(as = "DisplayFromStr")]
    pub lease: humantime::Duration,
    /// The length of a window of usage.
    #[serde_as(as = "DisplayFromStr")]
    pub usage_window: humantime::Duration,
    /// The time after its end within which a window is reported.
    #[serde_as(as = "DisplayFromStr")]
    pub usage_delay: humantime::Duration,
    /// The repeats that a service may get for each request.
    #[serde_as(as = "DisplayFromStr")]
    pub retry_ratio: f64,
    /// The repeats that are free in a window, over all nodes.
    #[serde_as(as = "DisplayFromStr")]
    pub retry_headroom: f64,
    /// The length of the window in which repeats are counted.
    #[serde_as(as = "DisplayFromStr")]
    pub retry_window: humantime::Duration,
    /// The length of the window in which teams' limits are judged.
    #[serde_as(as = "DisplayFromStr")]
    pub quota_window: humantime::Duration,
    /// The part by which a team may exceed its limit in a window.
    #[serde_as(as = "DisplayFromStr")]
    pub quota_overage: f64,
    /// The tokens that a team may take in a window besides.
    #[serde_as(as = "DisplayFromStr")]
    pub quota_headroom: f64,
    /// The longest time for which callers keep addresses.
    #[serde_as(as = "DisplayFromStr")]
    pub address_ttl: humantime::Duration,
    /// The most addresses that a caller is told at once.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(rename = "addresses_most")]
    pub max_addresses: usize,
}

impl Settings {
    /// Returns the settings that an INI text gives; the error holds every problem in it.
    pub fn parse(file: &str, text: &str) -> Result<Settings> {
        let (sections, mut problems) = read_sections(file, text);
        problems.extend(unknown_sections(file, &sections, &SECTION_KINDS));
        let settings = Settings {
            gateway: read_single_section(file, &sections, "gateway", &mut problems),
            ports: read_single_section(file, &sections, "ports", &mut problems),
            endpoints: read_single_section(file, &sections, "endpoints", &mut problems),
            bounds: read_single_section(file, &sections, "bounds", &mut problems),
            fleet: read_single_section(file, &sections, "fleet", &mut problems),
        };
        problems.extend(settings.fleet.problems(file, &sections));
        if problems.is_empty() {
            return Ok(settings);
        }
        problems.sort_by_key(|problem| problem.line);
        Err(CoreError::Config(problems))
    }

    /// Returns whether a settings file is one of a node that serves routes.
    pub fn is_gateway_file(text: &str) -> bool {
        text.lines().any(|line| line.trim() == "[gateway]")
    }
}

impl Default for GatewaySettings {
    fn default() -> Self {
        GatewaySettings {
            adapter: "cooperative".to_owned(),
            name: valid("node-1"),
            zone: valid("zone-a"),
            first_start: false,
        }
    }
}

impl Default for PortSettings {
    fn default() -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        PortSettings {
            callers: loopback,
            directory: loopback,
            readiness: loopback,
            peers: loopback,
            metrics: None,
        }
    }
}

impl Default for EndpointSettings {
    fn default() -> Self {
        EndpointSettings { key_value: SocketAddr::from(([127, 0, 0, 1], 0)), cloud: None }
    }
}

impl Default for BoundSettings {
    // What both early users have agreed with their platform.
    fn default() -> Self {
        BoundSettings {
            revocation: Duration::from_secs(5).into(),
            config_apply: Duration::from_secs(2).into(),
            grace: Duration::from_secs(8).into(),
            lease: Duration::from_secs(3).into(),
            usage_window: Duration::from_secs(5).into(),
            usage_delay: Duration::from_secs(10).into(),
            retry_ratio: 0.2,
            retry_headroom: 50.0,
            retry_window: Duration::from_secs(10).into(),
            quota_window: Duration::from_secs(8).into(),
            quota_overage: 0.0,
            quota_headroom: 0.0,
            address_ttl: Duration::from_secs(2).into(),
            max_addresses: 64,
        }
    }
}

fn valid<K: NameKind>(text: &str) -> Name<K> {
    Name::new(text).unwrap_or_else(|_| unreachable!("a valid name"))
}
