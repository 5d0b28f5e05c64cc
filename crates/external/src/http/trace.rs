//! The span of a call that leaves, and the trace context in its headers.

use std::{net::SocketAddr, sync::OnceLock};

use hyper::HeaderMap;
use tracing::Span;

/// Writes the current span into headers; unset where spans are not collected.
static INJECTOR: OnceLock<fn(&mut HeaderMap)> = OnceLock::new();

/// Sets what writes the current span into the headers of calls, once for the process.
pub fn set_trace_injector(injector: fn(&mut HeaderMap)) {
    // A second start in one process, as tests have it, brings the same function.
    let _ = INJECTOR.set(injector);
}

/// Returns the span of a call to `address`, inside of the current span.
///
/// A call that belongs to no request has none: heartbeats and the sending of spans itself would
/// otherwise be traces of their own, and the latter without end.
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
