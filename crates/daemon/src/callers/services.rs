//! `/v1/services/{service}/{path}`: calls that are forwarded to plain services.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::{
    Incarnation, Ran, ServiceName, TeamName,
    config::{ServiceConfig, ServiceType},
};
use bulrushhall_external::{
    CallError,
    http::{Body, full},
    service::{ServiceCall, ServiceResponse},
};
use bulrushhall_policy::WorkerKey;
use bytes::Bytes;
use hyper::{
    HeaderMap, Response,
    header::{CONTENT_TYPE, RETRY_AFTER},
    http::request::Parts,
};

use crate::{
    backends::Backend,
    callers::{
        ApiCode, ApiError,
        identify::identify,
        sending::{Next, Sending},
        sent::{Repeat, Sent},
    },
    carried,
    context::Context,
    crashes,
    keyed::{self, KeyedCall, StoredResponse},
};

/// The header that carries a caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// The header that carries the ticket under which an idempotency key was first used.
const TICKET_HEADER: &str = "x-ticket";
/// The request headers that are forwarded to a plain service.
const FORWARDED_HEADERS: [&str; 4] = ["content-type", "accept", KEY_HEADER, "traceparent"];
/// The maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Forwards a caller's request to a plain service and returns its response.
pub async fn call(
    cx: &Arc<Context>,
    parts: &Parts,
    service: &str,
    body: Bytes,
) -> Result<Response<Body>, ApiError> {
    let in_force = cx.in_force();
    let team = identify(&in_force.deployment, parts)?;
    let unknown = || {
        ApiError::not_run(
            ApiCode::ServiceNotFound,
            format!("the service {service:?} does not exist"),
        )
    };
    let name = ServiceName::new(service).map_err(|_| unknown())?;
    let cfg = in_force.deployment.services.get(&name).ok_or_else(unknown)?;
    if cfg.service_type != ServiceType::Plain {
        return Err(unknown());
    }
    let call = forwarded_call(parts, service, body);
    if !is_idempotent_call(cfg, &call) {
        return call_at_most_once(cx, parts, team, &name, call).await;
    }
    if cx.is_leaving() {
        return Err(ApiError::not_run(ApiCode::Leaving, "the node takes no new work"));
    }
    call_idempotent(cx, &name, call).await
}

async fn call_idempotent(
    cx: &Arc<Context>,
    service: &ServiceName,
    call: ServiceCall,
) -> Result<Response<Body>, ApiError> {
    let Sent { ran, response, error, .. } =
        carried::send(cx, service, call, Repeat::Allowed).await?;
    let failed = error.as_ref().map_or_else(no_backend_error, call_error);
    response.map(into_http_response).ok_or_else(|| failed.ran(ran))
}

async fn call_at_most_once(
    cx: &Arc<Context>,
    parts: &Parts,
    team: TeamName,
    service: &ServiceName,
    call: ServiceCall,
) -> Result<Response<Body>, ApiError> {
    let key = idempotency_key(&call)?;
    let call = KeyedCall {
        team,
        service: service.clone(),
        key,
        ticket: ticket_from_headers(parts)?,
        method: call.method.to_string(),
        path: call.path,
        headers: keyed::portable_headers(&call.headers),
        body: call.body,
    };
    keyed::call(cx, call).await.map(StoredResponse::into_response)
}

fn ticket_from_headers(parts: &Parts) -> Result<Option<Incarnation>, ApiError> {
    let Some(ticket) = parts.headers.get(TICKET_HEADER) else { return Ok(None) };
    let malformed = || ApiError::not_run(ApiCode::InvalidValue, "x-ticket is not a ticket");
    let ticket = ticket.to_str().ok().and_then(|ticket| ticket.strip_prefix("t-"));
    ticket.ok_or_else(malformed)?.parse().map(Some).map_err(|_| malformed())
}

/// Sends a call to the backend servers that this node reaches, one after the other, until one responds.
///
/// Servers that were silent before they got the call are asked again until its time is over: all may be silent for a moment.
pub(crate) async fn send(
    cx: &Arc<Context>,
    service: &ServiceName,
    call: &ServiceCall,
    repeat: Repeat,
) -> Result<Sent, ApiError> {
    let digest = crashes::call_digest(service, call);
    if let Some(refusal) = crashes::refusal(cx, digest) {
        return Err(refusal.error);
    }
    let mut backends = backends_by_distance(cx, service)?;
    let until = cx.clock.now() + call_timeout(cx, service);
    let mut sending = Sending::new(cx, call, repeat, digest, until);
    let count = backends.len();
    while sending.send_to_each(backends).await == Next::GoOn {
        backends = backends_by_distance(cx, service).unwrap_or_default();
        backends.retain(|(key, _)| sending.silent.contains(key));
    }
    let Sending { mut sent, unreachable, .. } = sending;
    sent.is_lost = 0 < count && unreachable == count;
    Ok(sent)
}

fn call_timeout(cx: &Context, service: &ServiceName) -> Duration {
    let in_force = cx.in_force();
    let cfg = in_force.deployment.services.get(service);
    cfg.map_or(Duration::ZERO, |cfg| cfg.timeout.into())
}

fn forwarded_call(parts: &Parts, service: &str, body: Bytes) -> ServiceCall {
    let path_and_query = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let prefix = format!("/v1/services/{service}");
    let path =
        path_and_query.strip_prefix(&prefix).filter(|rest| rest.starts_with('/')).unwrap_or("/");
    let mut headers = HeaderMap::new();
    for name in FORWARDED_HEADERS {
        let Some(value) = parts.headers.get(name) else { continue };
        headers.insert(name, value.clone());
    }
    ServiceCall { method: parts.method.clone(), path: path.to_owned(), headers, body, fence: None }
}

fn is_idempotent_call(cfg: &ServiceConfig, call: &ServiceCall) -> bool {
    let path = call.path.split('?').next().unwrap_or("/");
    cfg.is_idempotent(call.method.as_str(), path)
}

fn idempotency_key(call: &ServiceCall) -> Result<Bytes, ApiError> {
    let missing = || {
        let message = "a call that may run at most once needs an Idempotency-Key";
        ApiError::not_run(ApiCode::MissingIdempotencyKey, message)
    };
    let key = call.headers.get(KEY_HEADER).ok_or_else(missing)?.as_bytes();
    if key.is_empty() {
        return Err(missing());
    }
    if MAX_KEY_BYTES < key.len() {
        let message = format!("the Idempotency-Key is longer than {MAX_KEY_BYTES} bytes");
        return Err(ApiError::not_run(ApiCode::InvalidValue, message));
    }
    Ok(Bytes::copy_from_slice(key))
}

// Returns the backend servers of a service that accept work; those in the node's own zone come first.
//
// If all of them have asked for rest, the error names the time until the first accepts a call again.
fn backends_by_distance(
    cx: &Context,
    service: &ServiceName,
) -> Result<Vec<(WorkerKey, Backend)>, ApiError> {
    let zone = &cx.settings.node.zone;
    let leaving = cx.leaving_vms.load();
    let now = cx.clock.now();
    let mut backends = Vec::new();
    let mut shortest_rest: Option<Duration> = None;
    for (key, backend) in cx.backends.of(service) {
        if leaving.contains(&backend.vm) {
            continue;
        }
        match cx.backends.rests_until(key).filter(|until| now < *until) {
            Some(until) => {
                let rest = until.since(now);
                shortest_rest = Some(shortest_rest.map_or(rest, |shortest| shortest.min(rest)));
            }
            None => backends.push((key, backend)),
        }
    }
    if let (true, Some(rest)) = (backends.is_empty(), shortest_rest) {
        let message = "all backend servers have asked for rest";
        return Err(ApiError::not_run(ApiCode::Unavailable, message).retry_after(rest));
    }
    backends.sort_by_key(|(_, backend)| (backend.zone != *zone, backend.vm.clone()));
    Ok(backends)
}

fn no_backend_error() -> ApiError {
    ApiError::not_run(ApiCode::Unavailable, "no backend server could be reached")
}

fn call_error(error: &CallError) -> ApiError {
    let code = if error.ran == Ran::No { ApiCode::Unavailable } else { ApiCode::BackendFailed };
    ApiError::not_run(code, error.to_string()).ran(error.ran)
}

fn into_http_response(response: ServiceResponse) -> Response<Body> {
    let mut res = Response::new(full(response.body));
    *res.status_mut() = response.status;
    for name in [CONTENT_TYPE, RETRY_AFTER] {
        let Some(value) = response.headers.get(&name) else { continue };
        res.headers_mut().insert(name, value.clone());
    }
    res
}
