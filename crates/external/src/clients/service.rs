//! The HTTP client of a plain service.

use std::time::Duration;

use http_body_util::Full;
use hyper::Request;

use crate::{
    Call,
    errors::{CallError, CallFault},
    http::{Endpoint, read_limited},
    service::{PlainService, ServiceCall, ServiceResponse},
};

/// The header that carries a fencing number.
pub const FENCING_NUMBER_HEADER: &str = "x-fencing-number";
/// The largest answer of a plain service, in bytes.
const ANSWER_LIMIT: usize = 8 << 20;

/// An `HttpService` is a backend server of a plain service reached by HTTP.
pub struct HttpService {
    endpoint: Endpoint,
    timeout: Duration,
}

impl HttpService {
    /// Returns the backend server at `endpoint`, whose answers' bodies may take `timeout`.
    pub fn new(endpoint: Endpoint, timeout: Duration) -> HttpService {
        HttpService { endpoint, timeout }
    }
}

impl PlainService for HttpService {
    fn call(&self, call: ServiceCall) -> Call<'_, ServiceResponse> {
        Box::pin(async move {
            let mut builder = Request::builder().method(call.method).uri(call.path);
            if let Some(headers) = builder.headers_mut() {
                *headers = call.headers;
            }
            if let Some(fence) = call.fence {
                builder = builder.header(FENCING_NUMBER_HEADER, fence.0);
            }
            let req = builder.body(Full::new(call.body));
            let req = req.map_err(|_| CallError::not_done(CallFault::Malformed))?;

            let answer = self.endpoint.send(req).await?;
            let (parts, body) = answer.into_parts();
            let body = read_limited(body, ANSWER_LIMIT, self.timeout).await;
            let body = body.map_err(|_| CallError::unknown(CallFault::Closed))?;
            Ok(ServiceResponse { status: parts.status, headers: parts.headers, body })
        })
    }
}
