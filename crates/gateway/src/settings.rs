//! The settings of a node that serves routes, from its INI file.

use std::{net::SocketAddr, time::Duration};

use bulrushhall_core::{
    CoreError, NodeName, Result, ZoneName,
    config::{read_sections, read_single_section, unknown_sections},
    name::{Name, NameKind},
};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::{
    capacity_settings::CapacitySettings, fleet_settings::FleetSettings,
    prefix_homes::PrefixSettings, speed_settings::SpeedSettings, waiting::WaitingSettings,
};

/// The kinds of sections that a settings file may have.
///
/// The section `log` is read by the process that writes the log.
pub const SECTION_KINDS: [&str; 10] = [
    "gateway",
    "ports",
    "endpoints",
    "bounds",
    "capacity",
    "fleet",
    "prefixes",
    "speeds",
    "waiting",
    "log",
];

/// The `Settings` of a node.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The identity of the node.
    pub gateway: GatewaySettings,
    /// The addresses on which it listens.
    pub ports: PortSettings,
    /// The addresses of the platform's services.
    pub endpoints: EndpointSettings,
    /// The bounds that the node guarantees.
    pub bounds: BoundSettings,
    /// What its VM can carry.
    pub capacity: CapacitySettings,
    /// The number of engines that it orders for a demand.
    pub fleet: FleetSettings,
    /// The home engines of prompt prefixes.
    pub prefixes: PrefixSettings,
    /// The speeds of backend servers.
    pub speeds: SpeedSettings,
    /// The queue of requests that no engine can start soon.
    pub waiting: WaitingSettings,
}

/// `GatewaySettings` are the identity of the node.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewaySettings {
    /// The name of the platform's adapter.
    pub adapter: String,
    /// The node's name.
    pub name: NodeName,
    /// The availability zone of its VM.
    pub zone: ZoneName,
    /// Whether the whole system starts for the first time.
    #[serde_as(as = "DisplayFromStr")]
    pub first_start: bool,
}

/// `PortSettings` are the addresses on which the node listens.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PortSettings {
    /// The address for callers' requests.
    pub callers: SocketAddr,
    /// The address on which callers look up the nodes.
    pub directory: SocketAddr,
    /// The address of the platform's readiness check.
    pub readiness: SocketAddr,
    /// The address for gossip with other nodes.
    pub peers: SocketAddr,
    /// The address from which monitoring scrapes the metrics.
    pub metrics: Option<SocketAddr>,
}

/// `EndpointSettings` are the addresses of the platform's services.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointSettings {
    /// The key-value service.
    pub key_value: SocketAddr,
    /// The cloud API.
    pub cloud: Option<SocketAddr>,
}

/// `BoundSettings` are the times and rates that a deployment guarantees.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// The time after which no node accepts a revoked key.
    #[serde_as(as = "DisplayFromStr")]
    pub revocation: humantime::Duration,
    /// The time after which a confirmed configuration is active on all nodes.
    #[serde_as(as = "DisplayFromStr")]
    pub config_apply: humantime::Duration,
    /// The maximum time between the stop signal and the end of the process.
    #[serde_as(as = "DisplayFromStr")]
    pub grace: humantime::Duration,
    /// The duration of the lease of the duties; within this time at most one node acts as their holder.
    #[serde_as(as = "DisplayFromStr")]
    pub lease: humantime::Duration,
    /// The length of a usage window.
    #[serde_as(as = "DisplayFromStr")]
    pub usage_window: humantime::Duration,
    /// The time after its end within which a usage window is reported.
    #[serde_as(as = "DisplayFromStr")]
    pub usage_delay: humantime::Duration,
    /// The number of retries that a service may get for each request.
    #[serde_as(as = "DisplayFromStr")]
    pub retry_ratio: f64,
    /// The number of retries that are always allowed in a window, over all nodes.
    #[serde_as(as = "DisplayFromStr")]
    pub retry_headroom: f64,
    /// The length of the window in which retries are counted.
    #[serde_as(as = "DisplayFromStr")]
    pub retry_window: humantime::Duration,
    /// The length of the window in which teams' limits are checked.
    #[serde_as(as = "DisplayFromStr")]
    pub quota_window: humantime::Duration,
    /// The fraction by which a team may exceed its limit in a window.
    #[serde_as(as = "DisplayFromStr")]
    pub quota_overage: f64,
    /// The absolute amount by which a team may exceed its limit in a window in addition.
    #[serde_as(as = "DisplayFromStr")]
    pub quota_headroom: f64,
    /// The share of a service's requests that a bad version may get in a roll-out.
    #[serde_as(as = "DisplayFromStr")]
    pub exposure_share: f64,
    /// The number of requests that it may get in addition.
    #[serde_as(as = "DisplayFromStr")]
    pub exposure_headroom: f64,
    /// The maximum time for which callers keep addresses.
    #[serde_as(as = "DisplayFromStr")]
    pub address_ttl: humantime::Duration,
    /// The maximum number of addresses in the response to a lookup.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(rename = "addresses_most")]
    pub max_addresses: usize,
}

impl Settings {
    /// Returns the settings of an INI text; the error holds all problems in it.
    pub fn parse(file: &str, text: &str) -> Result<Settings> {
        let (sections, mut problems) = read_sections(file, text);
        problems.extend(unknown_sections(file, &sections, &SECTION_KINDS));
        let settings = Settings {
            gateway: read_single_section(file, &sections, "gateway", &mut problems),
            ports: read_single_section(file, &sections, "ports", &mut problems),
            endpoints: read_single_section(file, &sections, "endpoints", &mut problems),
            bounds: read_single_section(file, &sections, "bounds", &mut problems),
            capacity: read_single_section(file, &sections, "capacity", &mut problems),
            fleet: read_single_section(file, &sections, "fleet", &mut problems),
            prefixes: read_single_section(file, &sections, "prefixes", &mut problems),
            speeds: read_single_section(file, &sections, "speeds", &mut problems),
            waiting: read_single_section(file, &sections, "waiting", &mut problems),
        };
        problems.extend(settings.capacity.problems(file, &sections));
        problems.extend(settings.fleet.problems(file, &sections));
        problems.extend(settings.waiting.problems(file, &sections));
        if problems.is_empty() {
            return Ok(settings);
        }
        problems.sort_by_key(|problem| problem.line);
        Err(CoreError::Config(problems))
    }

    /// Returns whether a settings file is for a node that serves routes.
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
    // The bounds that deployments agree with their platforms.
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
            exposure_share: 0.1,
            exposure_headroom: 50.0,
            address_ttl: Duration::from_secs(2).into(),
            max_addresses: 64,
        }
    }
}

fn valid<K: NameKind>(text: &str) -> Name<K> {
    Name::new(text).unwrap_or_else(|_| unreachable!("a valid name"))
}
