//! The metrics of a node that serves routes, on a separate port.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bulrushhall_external::{
    BoxFuture,
    http::{Body, Handler, ServerOptions, empty, full, listen, serve},
};
use error_stack::{Report, ResultExt};
use hyper::{Request, Response, StatusCode, body::Incoming};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::{sync::watch, time::sleep};

use crate::errors::NodeError;

/// The upper bounds of histogram buckets, in seconds; they are densest around the latency targets of
/// users, 0.1 to 1 s.
const BUCKETS: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 2.0, 5.0, 10.0];
/// The pause between two upkeep runs of the metrics recorder.
const UPKEEP_PAUSE: Duration = Duration::from_secs(10);
/// The path of the metrics.
const PATH: &str = "/metrics";

struct MetricsPort {
    handle: PrometheusHandle,
}

/// Installs the metrics recorder and serves the metrics at `address` until the process ends.
pub fn start(address: SocketAddr) -> Result<(), Report<NodeError>> {
    let builder = PrometheusBuilder::new().set_buckets(&BUCKETS);
    let recorder = builder.change_context(NodeError::Start)?.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).change_context(NodeError::Start)?;
    let listener = listen(address).change_context(NodeError::Listen)?;
    let port = Arc::new(MetricsPort { handle: handle.clone() });
    let (running, stop) = watch::channel(false);
    tokio::spawn(serve(listener, port, ServerOptions::default(), stop));
    tokio::spawn(async move {
        // Without upkeep, each duration is stored individually until the metrics are read, and memory
        // would grow if nobody reads them.
        while !running.is_closed() {
            sleep(UPKEEP_PAUSE).await;
            handle.run_upkeep();
        }
    });
    Ok(())
}

impl Handler for MetricsPort {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        let mut response = Response::new(empty());
        if req.uri().path() == PATH {
            response = Response::new(full(self.handle.render()));
        } else {
            *response.status_mut() = StatusCode::NOT_FOUND;
        }
        Box::pin(async move { response })
    }
}
