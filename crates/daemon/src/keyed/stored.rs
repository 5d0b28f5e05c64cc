//! Responses of plain services that are stored for retries.

use bulrushhall_coord::decode_message;
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

/// A `StoredResponse` is what a caller receives for its key, the first time and on each retry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl StoredResponse {
    /// Returns the part of a plain service's response that is stored.
    pub fn of(response: &ServiceResponse) -> StoredResponse {
        let content_type = response.headers.get(CONTENT_TYPE);
        let content_type = content_type.and_then(|it| it.to_str().ok()).map(str::to_owned);
        StoredResponse {
            status: response.status.as_u16(),
            content_type,
            body: response.body.clone(),
        }
    }

    /// Returns the encoded form.
    pub fn encode(&self) -> Bytes {
        // A stored response holds only text and numbers, whose serialization cannot fail.
        Bytes::from(rmp_serde::to_vec_named(self).unwrap_or_default())
    }

    /// Decodes a stored response.
    pub fn decode(bytes: &[u8]) -> Option<StoredResponse> {
        decode_message(bytes).ok()
    }

    /// Returns it as an HTTP response.
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
