//! The process that serves routes on a platform whose APIs need an adapter.

use std::{
    io,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use bulrushhall_core::Event;
use bulrushhall_gateway::{Node, Platform, Settings, settings::EndpointSettings};
use error_stack::{Report, ResultExt};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::interval,
};
use tracing_subscriber::{EnvFilter, fmt, layer::SubscriberExt, util::SubscriberInitExt};

use crate::{errors::NodeError, route_metrics, settings::LogSettings, telemetry::Lines};

/// The poll interval for changes of the settings file that came without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// An `Adapter` is the connection of a node to one kind of platform.
#[derive(Clone, Copy)]
pub struct Adapter {
    /// Its name in settings.
    pub name: &'static str,
    /// Returns the platform at the addresses of the settings.
    pub connect: fn(&EndpointSettings) -> Platform,
}

/// Every adapter.
pub const ADAPTERS: [Adapter; 1] =
    [Adapter { name: bulrushhall_adapter::NAME, connect: bulrushhall_adapter::connect }];

/// Serves until the process receives SIGTERM or SIGINT.
pub async fn run(path: &Path, text: &str) -> Result<(), Report<NodeError>> {
    let settings = Settings::parse(&path.display().to_string(), text);
    let settings = settings.change_context(NodeError::Settings)?;
    let log = LogSettings::parse(&path.display().to_string(), text);
    start_logs(&log.change_context(NodeError::Settings)?.filter)?;
    let adapter = ADAPTERS.iter().find(|adapter| adapter.name == settings.gateway.adapter);
    let adapter = adapter.ok_or_else(|| Report::new(NodeError::Settings))?;
    let mut term = signal(SignalKind::terminate()).change_context(NodeError::Start)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(NodeError::Start)?;
    if let Some(address) = settings.ports.metrics {
        route_metrics::start(address)?;
    }
    let platform = (adapter.connect)(&settings.endpoints);
    let node = Node::start(settings, platform).change_context(NodeError::Start)?;
    let reload = tokio::spawn(follow_settings(path.to_owned(), text.into()));
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    reload.abort();
    node.stop().await;
    Ok(())
}

fn start_logs(filter: &str) -> Result<(), Report<NodeError>> {
    let filter = EnvFilter::try_new(filter).change_context(NodeError::Settings)?;
    let lines = Lines::start(io::stdout()).change_context(NodeError::Start)?;
    let layer = fmt::layer().json().flatten_event(true).with_target(false).with_writer(lines);
    let registry = tracing_subscriber::registry().with(filter).with(layer);
    registry.try_init().change_context(NodeError::Start)
}

// A running node doesn't change its addresses and limits. A changed file is only validated and the result
// logged, so that an operator sees at once whether the next start will accept it.
async fn follow_settings(path: PathBuf, mut text: Arc<str>) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    let mut ticks = interval(SETTINGS_POLL_INTERVAL);
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            _ = ticks.tick() => {}
        }
        let Ok(current) = std::fs::read_to_string(&path) else { continue };
        if *text == *current {
            continue;
        }
        text = current.into();
        match Settings::parse(&path.display().to_string(), &text) {
            Ok(_) => {
                tracing::info!(event = Event::SettingsChanged.number(), path = %path.display())
            }
            Err(error) => {
                tracing::warn!(event = Event::SettingsRejected.number(), %error);
            }
        }
    }
}
