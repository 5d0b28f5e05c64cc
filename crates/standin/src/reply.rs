//! Answers that every stand-in gives in the same way.

use std::time::Duration;

use bulrushhall_core::VmName;
use bulrushhall_external::http::{Body, BodyError, Identity, empty, full, read_limited};
use bytes::Bytes;
use hyper::{Response, StatusCode, body::Incoming};
use serde::Serialize;

/// The largest body that a stand-in reads, in bytes.
const BODY_LIMIT: usize = 64 << 20;
/// The longest time that a stand-in waits for a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns an answer with a status and no body.
pub fn status(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(empty());
    *answer.status_mut() = status;
    answer
}

/// Returns an answer with a JSON body.
pub fn json(value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => Response::new(full(bytes)),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Returns the answer to the question which VM this is.
pub fn identity(vm: &VmName) -> Response<Body> {
    json(&Identity { vm: vm.clone() })
}

/// Reads a request's whole body.
pub async fn read(body: Incoming) -> Result<Bytes, BodyError> {
    read_limited(body, BODY_LIMIT, BODY_TIMEOUT).await
}
