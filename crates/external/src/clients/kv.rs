//! The HTTP client of the platform's key-value service.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, http::request};
use serde::de::DeserializeOwned;

use crate::{
    Call,
    errors::{CallError, CallFault},
    http::{BodyTimeouts, CheckedBody, Endpoint, read_with_timeouts},
    kv::{CasOutcome, Changes, KeyValue, LeaseId, MAX_VALUE_BYTES, Version, Versioned},
};

/// The header with the version of a key.
pub const VERSION_HEADER: &str = "x-version";
/// The header with the version that a write expects.
pub const EXPECTED_VERSION_HEADER: &str = "x-expect-version";
/// The header with the lease that a key is attached to.
pub const LEASE_HEADER: &str = "x-lease";
/// The time limits for the body of a response.
const BODY_TIMEOUTS: BodyTimeouts =
    BodyTimeouts { idle: Duration::from_secs(2), total: Duration::from_secs(20) };
/// The maximum size of a response, in bytes: a value or a list of keys.
const MAX_RESPONSE_BYTES: usize = MAX_VALUE_BYTES + (1 << 16);

/// An `HttpKeyValue` is a client of the key-value service.
pub struct HttpKeyValue {
    endpoint: Endpoint,
}

impl HttpKeyValue {
    /// Returns a client of the service at `endpoint`.
    pub fn new(endpoint: Endpoint) -> HttpKeyValue {
        HttpKeyValue { endpoint }
    }

    async fn send(
        &self,
        builder: request::Builder,
        body: Bytes,
    ) -> Result<Response<CheckedBody>, CallError> {
        let req = builder.body(Full::new(body));
        let req = req.map_err(|_| CallError::not_done(CallFault::Malformed))?;
        let response = self.endpoint.send(req).await?;
        match response.status() {
            StatusCode::OK | StatusCode::CONFLICT => Ok(response),
            status if status.is_client_error() => {
                Err(CallError::not_done(CallFault::Refused { status: status.as_u16() }))
            }
            status => Err(CallError::unknown(CallFault::Refused { status: status.as_u16() })),
        }
    }

    async fn compare_and_swap(
        &self,
        builder: request::Builder,
        body: Bytes,
    ) -> Result<CasOutcome, CallError> {
        let response = self.send(builder, body).await?;
        let conflict = response.status() == StatusCode::CONFLICT;
        let found = read_versioned(response).await?;
        Ok(if conflict { CasOutcome::Conflict(found) } else { CasOutcome::Written(found.version) })
    }
}

impl KeyValue for HttpKeyValue {
    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Versioned> {
        Box::pin(async move {
            let builder = Request::builder().method(Method::GET).uri(key_path(key));
            read_versioned(self.send(builder, Bytes::new()).await?).await
        })
    }

    fn put_if<'a>(
        &'a self,
        key: &'a str,
        expected: Version,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Call<'a, CasOutcome> {
        Box::pin(async move {
            let mut builder = Request::builder()
                .method(Method::PUT)
                .uri(key_path(key))
                .header(EXPECTED_VERSION_HEADER, expected.0);
            if let Some(lease) = lease {
                builder = builder.header(LEASE_HEADER, lease.0);
            }
            self.compare_and_swap(builder, value).await
        })
    }

    fn remove_if<'a>(&'a self, key: &'a str, expected: Version) -> Call<'a, CasOutcome> {
        Box::pin(async move {
            let builder = Request::builder()
                .method(Method::DELETE)
                .uri(key_path(key))
                .header(EXPECTED_VERSION_HEADER, expected.0);
            self.compare_and_swap(builder, Bytes::new()).await
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> Call<'a, Changes> {
        Box::pin(async move {
            let builder = Request::builder().uri(format!("/list/{prefix}"));
            let changes = read_json(self.send(builder, Bytes::new()).await?).await?;
            Ok(Changes::after(Version(0), changes))
        })
    }

    fn grant(&self, ttl: Duration) -> Call<'_, LeaseId> {
        Box::pin(async move {
            let builder =
                Request::builder().method(Method::POST).uri(format!("/lease/{}", ttl.as_millis()));
            read_json(self.send(builder, Bytes::new()).await?).await
        })
    }

    fn renew(&self, lease: LeaseId) -> Call<'_, ()> {
        Box::pin(async move {
            let builder = Request::builder().method(Method::PUT).uri(format!("/lease/{}", lease.0));
            self.send(builder, Bytes::new()).await.map(drop)
        })
    }

    fn watch<'a>(&'a self, prefix: &'a str, after: Version, wait: Duration) -> Call<'a, Changes> {
        Box::pin(async move {
            let uri = format!("/watch/{}/{}/{prefix}", after.0, wait.as_millis());
            let response = self.send(Request::builder().uri(uri), Bytes::new()).await?;
            Ok(Changes::after(after, read_json(response).await?))
        })
    }
}

fn key_path(key: &str) -> String {
    format!("/kv/{key}")
}

async fn read_versioned(response: Response<CheckedBody>) -> Result<Versioned, CallError> {
    let malformed = || CallError::unknown(CallFault::Malformed);
    let header = response.headers().get(VERSION_HEADER).ok_or_else(malformed)?;
    let version = header.to_str().map_err(|_| malformed())?.parse().map_err(|_| malformed())?;
    let body = read_with_timeouts(response.into_body(), MAX_RESPONSE_BYTES, BODY_TIMEOUTS).await;
    let value = body.map_err(|error| CallError::unknown(error.into()))?;
    Ok(Versioned { version: Version(version), value })
}

async fn read_json<T: DeserializeOwned>(response: Response<CheckedBody>) -> Result<T, CallError> {
    let body = read_with_timeouts(response.into_body(), MAX_RESPONSE_BYTES, BODY_TIMEOUTS).await;
    let body = body.map_err(|error| CallError::unknown(error.into()))?;
    serde_json::from_slice(&body).map_err(|_| CallError::unknown(CallFault::Malformed))
}
