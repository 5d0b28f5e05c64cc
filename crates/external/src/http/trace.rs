//! The spans of outgoing calls, and the trace context in their headers.

use std::{net::SocketAddr, sync::OnceLock};

use hyper::HeaderMap;
use tracing::Span;

/// The function that writes the current span into headers; unset if spans are not collected.
static INJECTOR: OnceLock<fn(&mut HeaderMap)> = OnceLock::new();

/// Sets the function that writes the current span into the headers of calls, once per process.
pub fn set_trace_injector(injector: fn(&mut HeaderMap)) {
    // Tests start several nodes in one process, which all set the same function.
    let _ = INJECTOR.set(injector);
}

/// Returns the span of a call to `address`, as a child of the current span.
///
/// A call outside of any span gets none: otherwise heartbeats and the export of spans would be
/// traces of their own, and each export would cause another one.
pub(super) fn call_span(address: SocketAddr, path: &str) -> Span {
    if Span::current().is_none() {
        return Span::none();
    }
    tracing::info_span!("call", otel.kind = "client", to = %address, path)
}

/// Writes the current span into headers.
pub(super) fn inject(headers: &mut HeaderMap) {
    if Span::current().is_none() {
        return;
    }
    if let Some(injector) = INJECTOR.get() {
        injector(headers);
    }
}
