//! Answers that several filters give in the same way.

use bulrushhall_external::http::{Body, full};
use hyper::{
    Response,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Serialize;

use crate::callers::{ApiCode, ApiError};

/// Returns a JSON answer.
pub fn json(value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => json_bytes(bytes),
        Err(error) => ApiError::not_run(ApiCode::BackendFailed, error.to_string()).into_response(),
    }
}

/// Returns a JSON answer whose text is already there.
pub fn json_bytes(bytes: impl Into<bytes::Bytes>) -> Response<Body> {
    let mut answer = Response::new(full(bytes));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}
