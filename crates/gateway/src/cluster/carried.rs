//! The messages by which one node carries a request of another one to a backend server.

use std::time::Duration;

use bulrushhall_core::Ran;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Uri,
    header::{HeaderName, HeaderValue},
};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The path to which carried requests are sent.
pub const CARRY_PATH: &str = "/carry";
/// The header that marks a response as one of the backend server; without it, the body is a [`CarryFailure`].
pub const CARRIED_HEADER: HeaderName = HeaderName::from_static("bulrush-carried");

/// The value of this header if the response has no marked end where the server sends it.
pub const CARRIED_UNDELIMITED: &str = "undelimited";

/// A `CarriedRequest` is a request as the backend server has to get it.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CarriedRequest {
    /// The backend server.
    pub backend: String,
    /// Its start time.
    pub born: Option<u64>,
    /// The time until the deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "left_ms")]
    pub left: Duration,
    /// Whether it is the one that shows whether a blocked request still crashes its server.
    #[serde(rename = "probe", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_probe: bool,
    /// The method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The headers.
    pub headers: Vec<(String, Bytes)>,
    /// The body.
    pub body: Bytes,
}

/// A `CarryFailure` tells why a request that was to be carried got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CarryFailure {
    /// Whether the backend server may have run the request.
    pub ran: Ran,
    /// Whether the carrier has no room there that it may use.
    #[serde(default)]
    pub full: bool,
    /// Whether it refuses the request because of a part of its prompt.
    #[serde(default)]
    pub blocked: bool,
}

impl CarriedRequest {
    /// Returns the request in the form of a message.
    pub fn new(
        (backend, born): (&str, Option<u64>),
        left: Duration,
        req: &Request<Full<Bytes>>,
        body: Bytes,
    ) -> CarriedRequest {
        let headers = req.headers().iter();
        let headers = headers
            .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())));
        CarriedRequest {
            backend: backend.to_owned(),
            born,
            left,
            is_probe: false,
            method: req.method().to_string(),
            path: req.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned(),
            headers: headers.collect(),
            body,
        }
    }

    /// Returns the request for the backend server; none if a part of it is malformed.
    pub fn request(&self) -> Option<Request<Full<Bytes>>> {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_bytes(value).ok()?);
        }
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = Method::from_bytes(self.method.as_bytes()).ok()?;
        *req.uri_mut() = self.path.parse::<Uri>().ok()?;
        *req.headers_mut() = headers;
        Some(req)
    }
}
