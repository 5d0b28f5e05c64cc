//! An HTTP client that returns raw answers for inspection.

use std::{net::SocketAddr, time::Duration};

use bulrushhall_core::Ran;
use bulrushhall_external::{
    CallError,
    http::{CheckedBody, Endpoint, EndpointOptions, read_limited},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde_json::Value;

/// The maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// The timeout for an answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A `Probe` is a client that sends single requests to one address.
pub struct Probe {
    endpoint: Endpoint,
    headers: Vec<(String, String)>,
}

/// A `Reply` is a complete raw answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Probe {
    /// Returns a probe of the server at `address`.
    pub fn new(address: SocketAddr) -> Probe {
        let options = EndpointOptions { response_timeout: TIMEOUT, ..EndpointOptions::default() };
        Probe { endpoint: Endpoint::new(address, options), headers: Vec::new() }
    }

    /// Returns this probe with a header added to every request.
    pub fn with(mut self, name: impl Into<String>, value: impl Into<String>) -> Probe {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sends a request and returns the complete answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Reply, CallError> {
        let (parts, body) = self.open(method, path, body).await?.into_parts();
        let body = read_limited(body, MAX_ANSWER_BYTES, TIMEOUT).await.unwrap_or_default();
        Ok(Reply { status: parts.status, headers: parts.headers, body })
    }

    /// Sends a request and returns the answer once its headers are received.
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Response<CheckedBody>, CallError> {
        let mut builder = Request::builder().method(method).uri(path);
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        let req = builder.body(Full::new(body.into()));
        let malformed = || CallError::not_done(bulrushhall_external::CallFault::Malformed);
        self.endpoint.send(req.map_err(|_| malformed())?).await
    }
}

impl Reply {
    /// Returns the body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the error code in the body; empty if there is none.
    pub fn error_code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or("").to_owned()
    }

    /// Returns whether the error says that the request may have run.
    pub fn ran(&self) -> Option<Ran> {
        serde_json::from_value(self.json()["error"]["ran"].clone()).ok()
    }

    /// Returns the `data` fields of the server-sent events in the body.
    pub fn events(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.body);
        text.lines().filter_map(|line| line.strip_prefix("data: ")).map(str::to_owned).collect()
    }
}
