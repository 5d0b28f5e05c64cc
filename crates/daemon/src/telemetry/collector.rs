//! Export of spans to a collector that accepts OTLP over HTTP.

use std::{error, fmt, future::Future, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use bulrushhall_external::http::{Endpoint, EndpointOptions, read_limited};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use opentelemetry_http::{HttpClient, HttpError};
use opentelemetry_otlp::{Protocol, SpanExporter, WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::{
    Resource,
    trace::{Sampler, SdkTracerProvider},
};
use tokio::runtime::Handle;

/// The path at which a collector accepts spans.
const SPANS_PATH: &str = "/v1/traces";
/// The maximum size of a collector's response, in bytes.
const RESPONSE_LIMIT: usize = 1 << 20;
/// The timeout of an export.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A `CollectorError` is the reason why spans cannot be exported.
#[derive(Debug)]
pub struct CollectorError(String);

// The library exports spans from its own thread, whereas the connection needs the Tokio runtime.
struct CollectorClient {
    endpoint: Arc<Endpoint>,
    runtime: Handle,
}

/// Returns a tracer provider that samples the given fraction of traces and exports them to `collector`.
pub fn provider(collector: SocketAddr, share: f64) -> Result<SdkTracerProvider, CollectorError> {
    let options =
        EndpointOptions { response_timeout: RESPONSE_TIMEOUT, ..EndpointOptions::default() };
    let endpoint = Arc::new(Endpoint::new(collector, options));
    let client = CollectorClient { endpoint, runtime: Handle::current() };
    let exporter = SpanExporter::builder()
        .with_http()
        .with_http_client(client)
        .with_protocol(Protocol::HttpBinary)
        .with_endpoint(format!("http://{collector}{SPANS_PATH}"))
        .with_timeout(RESPONSE_TIMEOUT)
        .build()
        .map_err(|error| CollectorError(error.to_string()))?;
    let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(share)));
    Ok(SdkTracerProvider::builder()
        .with_batch_exporter(exporter)
        .with_sampler(sampler)
        .with_resource(Resource::builder().with_service_name("bulrushd").build())
        .build())
}

impl HttpClient for CollectorClient {
    fn send_bytes<'a, 'b>(
        &'a self,
        request: Request<Bytes>,
    ) -> Pin<Box<dyn Future<Output = Result<Response<Bytes>, HttpError>> + Send + 'b>>
    where
        'a: 'b,
        Self: 'b,
    {
        let endpoint = Arc::clone(&self.endpoint);
        let sending = self.runtime.spawn(send(endpoint, request));
        Box::pin(async move { sending.await? })
    }
}

impl fmt::Debug for CollectorClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("CollectorClient").field(&self.endpoint.address()).finish()
    }
}

impl fmt::Display for CollectorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "spans cannot be exported: {}", self.0)
    }
}

impl error::Error for CollectorError {}

async fn send(
    endpoint: Arc<Endpoint>,
    request: Request<Bytes>,
) -> Result<Response<Bytes>, HttpError> {
    let (mut parts, body) = request.into_parts();
    // The endpoint connects to a fixed address, so the request line contains only the path.
    parts.uri = SPANS_PATH.parse()?;
    let response = endpoint.send(Request::from_parts(parts, Full::new(body))).await?;
    let (parts, body) = response.into_parts();
    let body = read_limited(body, RESPONSE_LIMIT, RESPONSE_TIMEOUT).await?;
    Ok(Response::from_parts(parts, body))
}
