//! The settings of one node, as its INI file gives them.

use std::{net::SocketAddr, time::Duration};

use bulrushhall_core::{NodeName, Result, VmName, ZoneName, config::settings_from};
use bytesize::ByteSize;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, StringWithSeparator, formats::CommaSeparator, serde_as};

/// The `Settings` of a node.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Who the node is and where it listens.
    pub node: NodeSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// What a request may cost.
    pub limits: LimitSettings,
}

/// `NodeSettings` tell who the node is and where it listens.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeSettings {
    /// The node's name.
    pub name: NodeName,
    /// The VM that the node runs on.
    pub vm: VmName,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other nodes connect.
    pub peers: SocketAddr,
    /// Where operators and monitoring connect.
    pub operators: SocketAddr,
    /// Addresses of other nodes to start from.
    #[serde_as(as = "StringWithSeparator<CommaSeparator, SocketAddr>")]
    pub seeds: Vec<SocketAddr>,
}

/// `PlatformSettings` tell where the platform's services are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// The key-value service.
    pub key_value: Option<SocketAddr>,
    /// The cloud API.
    pub cloud: Option<SocketAddr>,
    /// The list of VMs.
    pub vm_list: Option<SocketAddr>,
    /// The weight store.
    pub weights: Option<SocketAddr>,
}

/// `LimitSettings` bound what a request may cost.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The largest body.
    #[serde_as(as = "DisplayFromStr")]
    pub body: ByteSize,
    /// The longest time that a body may take to arrive.
    #[serde_as(as = "DisplayFromStr")]
    pub body_timeout: humantime::Duration,
    /// The longest time that headers may take to arrive.
    #[serde_as(as = "DisplayFromStr")]
    pub header_timeout: humantime::Duration,
    /// The longest time without a frame from an engine.
    #[serde_as(as = "DisplayFromStr")]
    pub engine_progress: humantime::Duration,
    /// How long open answers may go on after the stop.
    #[serde_as(as = "DisplayFromStr")]
    pub drain: humantime::Duration,
    /// The answers that run at once on one engine.
    #[serde_as(as = "DisplayFromStr")]
    pub answers_per_engine: usize,
}

impl Settings {
    /// Returns the settings that an INI text gives.
    pub fn parse(file: &str, text: &str) -> Result<Settings> {
        Ok(Settings {
            node: settings_from(file, text, "node")?,
            platform: settings_from(file, text, "platform")?,
            limits: settings_from(file, text, "limits")?,
        })
    }
}

impl Default for NodeSettings {
    fn default() -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        NodeSettings {
            name: valid("node-1"),
            vm: valid("vm-1"),
            zone: valid("zone-a"),
            callers: loopback,
            peers: loopback,
            operators: loopback,
            seeds: Vec::new(),
        }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            body: ByteSize::mib(2),
            body_timeout: Duration::from_secs(10).into(),
            header_timeout: Duration::from_secs(10).into(),
            engine_progress: Duration::from_secs(5).into(),
            drain: Duration::from_secs(20).into(),
            answers_per_engine: 32,
        }
    }
}

fn valid<K: bulrushhall_core::name::NameKind>(text: &str) -> bulrushhall_core::name::Name<K> {
    bulrushhall_core::name::Name::new(text).unwrap_or_else(|_| unreachable!("a valid name"))
}
