//! Plain services, whose calls are passed through.

use bulrushhall_core::FencingNumber;
use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};

use crate::Call;

/// A `ServiceCall` is a caller's call as it is passed to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The method.
    pub method: Method,
    /// The path and query below the service, with a leading `/`.
    pub path: String,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The fencing number, for services that compare it.
    pub fence: Option<FencingNumber>,
}

/// A `ServiceResponse` is a plain service's whole answer.
#[derive(Clone, Debug)]
pub struct ServiceResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A `PlainService` is one backend server of a plain service.
pub trait PlainService: Send + Sync {
    /// Passes a call on and returns the whole answer.
    fn call(&self, call: ServiceCall) -> Call<'_, ServiceResponse>;
}
