//! The HTTP client of a plain service.

use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::Request;

use crate::{
    Call,
    errors::{CallError, CallFault},
    http::{BodyError, Endpoint, read_limited},
    service::{PlainService, ServiceCall, ServiceResponse},
};

/// The header with a fencing number.
pub const FENCING_NUMBER_HEADER: &str = "x-fencing-number";
/// The maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// An `HttpService` is a client of one backend server of a plain service.
pub struct HttpService {
    endpoint: Endpoint,
    timeout: Duration,
}

impl HttpService {
    /// Returns a client of the backend server at `endpoint`; `timeout` limits the body of a response.
    pub fn new(endpoint: Endpoint, timeout: Duration) -> HttpService {
        HttpService { endpoint, timeout }
    }
}

impl PlainService for HttpService {
    fn call(&self, call: ServiceCall) -> Call<'_, ServiceResponse> {
        self.call_within(call, Duration::MAX)
    }

    fn call_within(&self, call: ServiceCall, limit: Duration) -> Call<'_, ServiceResponse> {
        Box::pin(async move {
            let began = Instant::now();
            let mut builder = Request::builder().method(call.method).uri(call.path);
            if let Some(headers) = builder.headers_mut() {
                *headers = call.headers;
            }
            if let Some(fence) = call.fence {
                builder = builder.header(FENCING_NUMBER_HEADER, fence.0);
            }
            let req = builder.body(Full::new(call.body));
            let req = req.map_err(|_| CallError::not_done(CallFault::Malformed))?;

            let response = self.endpoint.send_within(req, limit).await?;
            let (parts, body) = response.into_parts();
            let left = limit.saturating_sub(began.elapsed()).min(self.timeout);
            let body = read_limited(body, MAX_RESPONSE_BYTES, left).await;
            let body = body.map_err(|error| CallError::unknown(body_fault(error)))?;
            Ok(ServiceResponse { status: parts.status, headers: parts.headers, body })
        })
    }
}

// A server that sends what is no answer has not crashed.
fn body_fault(error: BodyError) -> CallFault {
    if error == BodyError::Malformed { CallFault::Malformed } else { CallFault::Closed }
}
