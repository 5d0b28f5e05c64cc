//! JSON responses.

use bulrushhall_external::http::{Body, full};
use hyper::{
    Response,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Serialize;

use crate::callers::{ApiCode, ApiError};

/// Returns a value as a JSON response.
pub fn json(value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => json_bytes(bytes),
        Err(error) => ApiError::not_run(ApiCode::BackendFailed, error.to_string()).into_response(),
    }
}

/// Returns a JSON response with the given encoded body.
pub fn json_bytes(bytes: impl Into<bytes::Bytes>) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
