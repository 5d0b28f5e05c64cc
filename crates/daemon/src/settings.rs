//! The settings of one node, as its INI file gives them.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use bulrushhall_core::{
    CoreError, NodeName, Result, VmName, ZoneName,
    config::{CommaList, ExactSize, Problem, read_sections, read_single_section, unknown_sections},
};
use bytesize::ByteSize;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// The `Settings` of a node.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Who the node is and where it listens.
    pub node: NodeSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// What a request may cost.
    pub limits: LimitSettings,
    /// What is logged and in what form.
    pub log: LogSettings,
    /// Where spans are sent.
    pub trace: TraceSettings,
    /// How the ports are protected.
    pub tls: TlsSettings,
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
    #[serde_as(as = "CommaList")]
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
    #[serde_as(as = "ExactSize")]
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

/// A `LogFormat` tells for whom log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    #[default]
    Human,
    /// For programs, one JSON object a line.
    Json,
}

/// `LogSettings` tell what is logged and in what form.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// For whom log lines are written.
    pub format: LogFormat,
    /// Which events are logged, as `tracing` filters are written.
    pub filter: String,
}

/// `TraceSettings` tell where spans are sent.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TraceSettings {
    /// The collector, which takes OTLP over HTTP; none means that no spans are sent.
    pub collector: Option<SocketAddr>,
    /// The share of requests that are traced where the caller does not decide it.
    #[serde_as(as = "DisplayFromStr")]
    pub share: f64,
}

/// `TlsSettings` tell how the ports are protected; without a certificate they are not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TlsSettings {
    /// The file with the node's certificate chain, in PEM.
    pub certificate: Option<PathBuf>,
    /// The file with the private key, in PEM.
    pub key: Option<PathBuf>,
    /// The file with the certificates of the authority that signs nodes and operators, in PEM.
    pub authority: Option<PathBuf>,
}

/// The kinds of sections that a settings file may have.
pub const SECTION_KINDS: [&str; 6] = ["node", "platform", "limits", "log", "trace", "tls"];

impl Settings {
    /// Returns the settings that an INI text gives; the error holds every problem in it.
    pub fn parse(file: &str, text: &str) -> Result<Settings> {
        let (sections, mut problems) = read_sections(file, text);
        problems.extend(unknown_sections(file, &sections, &SECTION_KINDS));
        let settings = Settings {
            node: read_single_section(file, &sections, "node", &mut problems),
            platform: read_single_section(file, &sections, "platform", &mut problems),
            limits: read_single_section(file, &sections, "limits", &mut problems),
            log: read_single_section(file, &sections, "log", &mut problems),
            trace: read_single_section(file, &sections, "trace", &mut problems),
            tls: read_single_section(file, &sections, "tls", &mut problems),
        };
        let tls = &settings.tls;
        let set = [&tls.certificate, &tls.key, &tls.authority].map(Option::is_some);
        if set.contains(&true) && set.contains(&false) {
            let section = sections.iter().find(|section| section.kind == "tls");
            let line = section.map_or(1, |section| section.line);
            let message = "[tls] needs certificate, key and authority";
            problems.push(Problem::new(file, line, message).hint("set all three"));
        }
        if problems.is_empty() {
            return Ok(settings);
        }
        problems.sort_by_key(|problem| problem.line);
        Err(CoreError::Config(problems))
    }
}

impl LogSettings {
    /// Returns what an INI text says about logs, whatever else is in it.
    pub fn parse(file: &str, text: &str) -> Result<LogSettings> {
        let (sections, _) = read_sections(file, text);
        let mut problems = Vec::new();
        let settings = read_single_section(file, &sections, "log", &mut problems);
        if problems.is_empty() { Ok(settings) } else { Err(CoreError::Config(problems)) }
    }
}

impl Default for TraceSettings {
    fn default() -> Self {
        TraceSettings { collector: None, share: 0.01 }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { format: LogFormat::Human, filter: "info".to_owned() }
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
