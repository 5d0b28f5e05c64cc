//! Plain services, to which calls are forwarded.

use std::time::Duration;

use bulrushhall_core::FencingNumber;
use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode, header::RETRY_AFTER};
use tokio::time::timeout;

use crate::{
    Call,
    errors::{CallError, CallFault},
};

/// A `ServiceCall` is a caller's call as forwarded to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The method.
    pub method: Method,
    /// The path and query below the service, with a leading `/`.
    pub path: String,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The fencing number, for services that check it.
    pub fence: Option<FencingNumber>,
}

/// A `ServiceResponse` is the complete response of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The longest rest that a server may ask for: one response does not take it out of use for longer.
pub const MAX_REST: Duration = Duration::from_secs(600);

impl ServiceResponse {
    /// Returns for how long the server wants no more calls, if it has turned the call away and says so.
    pub fn rest(&self) -> Option<Duration> {
        if ![StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS].contains(&self.status)
        {
            return None;
        }
        let seconds = self.headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
        Duration::try_from_secs_f64(seconds).ok().map(|rest| rest.min(MAX_REST))
    }
}

/// A `PlainService` is one backend server of a plain service.
pub trait PlainService: Send + Sync {
    /// Forwards a call and returns the complete response.
    fn call(&self, call: ServiceCall) -> Call<'_, ServiceResponse>;

    /// Forwards a call and returns the complete response, if it arrives within `limit`.
    fn call_within(&self, call: ServiceCall, limit: Duration) -> Call<'_, ServiceResponse> {
        Box::pin(async move {
            let called = timeout(limit, self.call(call)).await;
            called.unwrap_or(Err(CallError::unknown(CallFault::Timeout)))
        })
    }
}
