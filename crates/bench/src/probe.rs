//! Single requests whose raw answers are looked at.

use std::{net::SocketAddr, time::Duration};

use bulrushhall_core::Ran;
use bulrushhall_external::{
    CallError,
    http::{Endpoint, EndpointOptions, read_limited},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming};
use serde_json::Value;

/// The largest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;
/// The longest time for an answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A `Probe` sends single requests to one address.
pub struct Probe {
    endpoint: Endpoint,
    headers: Vec<(String, String)>,
}

/// A `Reply` is a whole raw answer.
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

    /// Returns this probe with a header that every request carries.
    pub fn with(mut self, name: impl Into<String>, value: impl Into<String>) -> Probe {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sends a request and returns the whole answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Reply, CallError> {
        let (parts, body) = self.open(method, path, body).await?.into_parts();
        let body = read_limited(body, ANSWER_LIMIT, TIMEOUT).await.unwrap_or_default();
        Ok(Reply { status: parts.status, headers: parts.headers, body })
    }

    /// Sends a request and returns the answer once its headers are there.
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>, CallError> {
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
    /// Returns the body as JSON; null where it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the code of the error that the body holds.
    pub fn error_code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or("").to_owned()
    }

    /// Returns whether the error says that the request may have run.
    pub fn ran(&self) -> Option<Ran> {
        serde_json::from_value(self.json()["error"]["ran"].clone()).ok()
    }

    /// Returns the `data` fields of the server-sent events that the body holds.
    pub fn events(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.body);
        text.lines().filter_map(|line| line.strip_prefix("data: ")).map(str::to_owned).collect()
    }
}
