//! Calls with JSON requests and responses, as used by the platform's smaller services.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    errors::{CallError, CallFault},
    http::{Endpoint, SendPermit, read_limited},
};

/// The maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// The time limit for the body of a response.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Gets a value.
pub async fn get<T: DeserializeOwned>(endpoint: &Endpoint, path: &str) -> Result<T, CallError> {
    call(endpoint, Method::GET, path, Bytes::new(), None).await
}

/// Posts a value and returns the value in the response.
pub async fn post<T: DeserializeOwned>(
    endpoint: &Endpoint,
    path: &str,
    body: &impl Serialize,
) -> Result<T, CallError> {
    post_permitted(endpoint, path, body, None).await
}

/// Posts a value while the permit lasts, if there is one, and returns the value in the response.
pub async fn post_permitted<T: DeserializeOwned>(
    endpoint: &Endpoint,
    path: &str,
    body: &impl Serialize,
    permit: Option<SendPermit>,
) -> Result<T, CallError> {
    let body = serde_json::to_vec(body).map_err(|_| CallError::not_done(CallFault::Malformed))?;
    call(endpoint, Method::POST, path, body.into(), permit).await
}

async fn call<T: DeserializeOwned>(
    endpoint: &Endpoint,
    method: Method,
    path: &str,
    body: Bytes,
    permit: Option<SendPermit>,
) -> Result<T, CallError> {
    let req = Request::builder().method(method).uri(path).body(Full::new(body));
    let mut req = req.map_err(|_| CallError::not_done(CallFault::Malformed))?;
    if let Some(permit) = permit {
        req.extensions_mut().insert(permit);
    }
    let response = endpoint.send(req).await?;
    let status = response.status();
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(CallError::not_done(CallFault::Refused { status: status.as_u16() }));
    }
    if status != StatusCode::OK {
        return Err(CallError::unknown(CallFault::Refused { status: status.as_u16() }));
    }
    let body = read_limited(response.into_body(), MAX_RESPONSE_BYTES, BODY_TIMEOUT).await;
    let body = body.map_err(|_| CallError::unknown(CallFault::Closed))?;
    serde_json::from_slice(&body).map_err(|_| CallError::unknown(CallFault::Malformed))
}
