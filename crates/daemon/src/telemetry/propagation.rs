//! Propagation of the trace context between headers and spans.

use std::collections::HashMap;

use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
};
use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;

/// The header that carries the trace context.
pub const TRACE_PARENT: &str = "traceparent";

struct Headers<'a>(&'a HeaderMap);

struct HeadersMut<'a>(&'a mut HeaderMap);

/// Makes `span` a child of the span in the trace context of the headers, if there is one.
///
/// A malformed header is ignored: a request must not fail because of its trace context.
pub fn with_remote_parent(span: Span, headers: &HeaderMap) -> Span {
    if headers.contains_key(TRACE_PARENT) {
        let parent = TraceContextPropagator::new().extract(&Headers(headers));
        // This fails only if spans are not collected at all.
        let _ = span.set_parent(parent);
    }
    span
}

/// Makes `span` a child of the span that [`trace_parent`] has returned, possibly at another node.
pub fn with_parent(span: Span, trace_parent: Option<&str>) -> Span {
    let Some(trace_parent) = trace_parent else { return span };
    let carrier = HashMap::from([(TRACE_PARENT.to_owned(), trace_parent.to_owned())]);
    let _ = span.set_parent(TraceContextPropagator::new().extract(&carrier));
    span
}

/// Writes the trace context of the current span into the headers of an outgoing request.
pub fn inject(headers: &mut HeaderMap) {
    let context = Span::current().context();
    TraceContextPropagator::new().inject_context(&context, &mut HeadersMut(headers));
}

/// Returns the trace context of the current span as header text, if the span is collected.
pub fn trace_parent() -> Option<String> {
    let mut carrier = HashMap::new();
    let context = Span::current().context();
    TraceContextPropagator::new().inject_context(&context, &mut carrier);
    carrier.remove(TRACE_PARENT)
}

impl Extractor for Headers<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|value| value.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

impl Injector for HeadersMut<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = HeaderName::from_bytes(key.as_bytes());
        let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) else { return };
        self.0.insert(name, value);
    }
}
