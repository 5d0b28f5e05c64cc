//! Responses that the simulated servers share, and the reading of request bodies.

use std::time::Duration;

use bulrushhall_core::VmName;
use bulrushhall_external::http::{Body, BodyError, Identity, empty, full, read_limited};
use bytes::Bytes;
use hyper::{Response, StatusCode, body::Incoming};
use serde::Serialize;

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// The maximum time to wait for a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a response with a status and an empty body.
pub fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

/// Returns a response with a JSON body.
pub fn json(value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => Response::new(full(bytes)),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Returns the response to an identity request: the name of the VM, and the version of the software.
pub fn identity(vm: &VmName, version: &str) -> Response<Body> {
    json(&Identity { vm: vm.clone(), version: version.to_owned() })
}

/// Reads the whole body of a request.
pub async fn read(body: Incoming) -> Result<Bytes, BodyError> {
    read_limited(body, MAX_BODY_BYTES, BODY_TIMEOUT).await
}
