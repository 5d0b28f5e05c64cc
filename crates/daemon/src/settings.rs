//! The settings of one node, read from its INI file.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use bulrushhall_core::{
    CoreError, NodeName, Result, VmName, ZoneName,
    config::{CommaList, ExactSize, Problem, read_sections, read_single_section, unknown_sections},
};
use bytesize::ByteSize;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// `Settings` are the settings of a node.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The node's identity and addresses.
    pub node: NodeSettings,
    /// The addresses of the platform's services.
    pub platform: PlatformSettings,
    /// The limits of a request.
    pub limits: LimitSettings,
    /// The log filter and format.
    pub log: LogSettings,
    /// The export of trace spans.
    pub trace: TraceSettings,
    /// TLS of the ports.
    pub tls: TlsSettings,
}

/// `NodeSettings` are the node's identity and addresses.
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
    /// The listen address for callers.
    pub callers: SocketAddr,
    /// The listen address for other nodes.
    pub peers: SocketAddr,
    /// The listen address for operators and monitoring.
    pub operators: SocketAddr,
    /// The peer addresses through which the node joins the others.
    #[serde_as(as = "CommaList")]
    pub seeds: Vec<SocketAddr>,
}

/// `PlatformSettings` are the addresses of the platform's services.
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

/// `LimitSettings` are the limits of a request.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The maximum size of a body.
    #[serde_as(as = "ExactSize")]
    pub body: ByteSize,
    /// The memory that the process may use.
    #[serde_as(as = "ExactSize")]
    pub memory: ByteSize,
    /// The maximum time in which a body must arrive.
    #[serde_as(as = "DisplayFromStr")]
    pub body_timeout: humantime::Duration,
    /// The maximum time in which headers must arrive.
    #[serde_as(as = "DisplayFromStr")]
    pub header_timeout: humantime::Duration,
    /// The maximum time between two frames from an engine.
    #[serde_as(as = "DisplayFromStr")]
    pub engine_progress: humantime::Duration,
    /// The maximum time for open answers to finish after the node is told to stop.
    #[serde_as(as = "DisplayFromStr")]
    pub drain: humantime::Duration,
    /// The maximum number of concurrent answers on one engine.
    #[serde_as(as = "DisplayFromStr")]
    pub answers_per_engine: usize,
}

/// A `LogFormat` is the form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Human,
    /// One JSON object per line, for programs.
    Json,
}

/// `LogSettings` are the log filter and format.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The form of log lines.
    pub format: LogFormat,
    /// Which events are logged, in the filter syntax of `tracing`.
    pub filter: String,
}

/// `TraceSettings` are the settings of trace export.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TraceSettings {
    /// The collector, which accepts OTLP over HTTP; without one no spans are sent.
    pub collector: Option<SocketAddr>,
    /// The fraction of requests that are sampled unless the caller's trace context decides it.
    #[serde_as(as = "DisplayFromStr")]
    pub share: f64,
}

/// `TlsSettings` are the certificate files of the ports; without a certificate the ports use no TLS.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TlsSettings {
    /// The file with the node's certificate chain, in PEM.
    pub certificate: Option<PathBuf>,
    /// The file with the private key, in PEM.
    pub key: Option<PathBuf>,
    /// The file with the CA certificates that sign nodes' and operators' certificates, in PEM.
    pub authority: Option<PathBuf>,
}

/// The kinds of sections that a settings file may have.
pub const SECTION_KINDS: [&str; 6] = ["node", "platform", "limits", "log", "trace", "tls"];

impl Settings {
    /// Parses the settings from an INI text; the error contains every problem in it.
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
    /// Parses the `[log]` section of an INI text and ignores all others.
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
            memory: ByteSize::mib(128),
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
