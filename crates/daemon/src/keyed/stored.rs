//! The answer of a plain service in the form in which it is kept for retries.

use bulrushhall_external::{
    http::{Body, full},
    service::ServiceResponse,
};
use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::{Deserialize, Serialize};

/// A `Stored` answer is what a caller gets for its key, the first time and on each retry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The HTTP status.
    pub status: u16,
    /// The type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl Stored {
    /// Returns what is kept of a plain service's answer.
    pub fn of(answer: &ServiceResponse) -> Stored {
        let content_type = answer.headers.get(CONTENT_TYPE);
        let content_type = content_type.and_then(|it| it.to_str().ok()).map(str::to_owned);
        Stored { status: answer.status.as_u16(), content_type, body: answer.body.clone() }
    }

    /// Returns the encoded form.
    pub fn encode(&self) -> Bytes {
        // It holds only text and numbers, for which serialization cannot fail.
        Bytes::from(rmp_serde::to_vec_named(self).unwrap_or_default())
    }

    /// Returns the answer that `bytes` hold.
    pub fn decode(bytes: &[u8]) -> Option<Stored> {
        rmp_serde::from_slice(bytes).ok()
    }

    /// Returns the HTTP answer.
    pub fn into_response(self) -> Response<Body> {
        let mut res = Response::new(full(self.body));
        *res.status_mut() = StatusCode::from_u16(self.status).unwrap_or(StatusCode::OK);
        let content_type = self.content_type.and_then(|it| HeaderValue::from_str(&it).ok());
        if let Some(content_type) = content_type {
            res.headers_mut().insert(CONTENT_TYPE, content_type);
        }
        res
    }
}
