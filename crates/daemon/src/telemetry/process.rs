//! Setup of logs and traces at the start of the process.

use std::io;

use bulrushhall_external::http::set_trace_injector;
use error_stack::{Report, ResultExt};
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::trace::SdkTracerProvider;
use tracing_subscriber::{
    EnvFilter, Layer, Registry, filter::LevelFilter, fmt, layer::SubscriberExt,
    util::SubscriberInitExt,
};

use crate::{
    errors::NodeError,
    settings::{LogFormat, LogSettings, TraceSettings},
    telemetry::{inject, provider},
};

/// A `Telemetry` is the log and trace output of a process.
pub struct Telemetry {
    provider: Option<SdkTracerProvider>,
}

impl Telemetry {
    /// Installs the log and trace subscribers of the process.
    pub fn start(log: &LogSettings, trace: &TraceSettings) -> Result<Telemetry, Report<NodeError>> {
        let filter = EnvFilter::try_new(&log.filter).change_context(NodeError::Settings)?;
        let lines: Box<dyn Layer<Registry> + Send + Sync> = match log.format {
            LogFormat::Human => Box::new(fmt::layer().with_writer(io::stderr).with_filter(filter)),
            LogFormat::Json => {
                Box::new(fmt::layer().json().with_writer(io::stderr).with_filter(filter))
            }
        };
        let provider = match trace.collector {
            Some(collector) => {
                Some(provider(collector, trace.share).change_context(NodeError::Settings)?)
            }
            None => None,
        };
        let spans = provider.as_ref().map(|provider| {
            let tracer = provider.tracer("bulrushd");
            tracing_opentelemetry::layer().with_tracer(tracer).with_filter(LevelFilter::INFO)
        });
        if provider.is_some() {
            set_trace_injector(inject);
        }
        let registry = tracing_subscriber::registry().with(lines).with(spans);
        registry.try_init().change_context(NodeError::Start)?;
        Ok(Telemetry { provider })
    }

    /// Exports the remaining spans.
    pub async fn stop(self) {
        let Some(provider) = self.provider else { return };
        // The library blocks until its own thread has finished, which in turn needs the runtime.
        let _ = tokio::task::spawn_blocking(move || provider.shutdown()).await;
    }
}
