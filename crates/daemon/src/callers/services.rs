//! `/v1/services/{service}/{path}`: calls that are passed to plain services.

use std::sync::Arc;

use bulrushhall_coord::Attempts;
use bulrushhall_core::{
    Incarnation, Ran, ServiceName, TeamName,
    config::{ServiceConfig, ServiceType},
};
use bulrushhall_external::{
    CallError, CallFault,
    http::{Body, full},
    service::{ServiceCall, ServiceResponse},
};
use bytes::Bytes;
use hyper::{HeaderMap, Response, header::CONTENT_TYPE, http::request::Parts};

use crate::{
    backends::{Backend, BackendClient},
    callers::{ApiCode, ApiError, identify::identify},
    context::Context,
    keyed::{self, KeyedCall, Stored},
};

/// The header that carries a caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// The header that carries the ticket under which a key was first used.
const TICKET_HEADER: &str = "x-ticket";
/// The headers that are passed on to a plain service.
const PASSED_HEADERS: [&str; 4] = ["content-type", "accept", KEY_HEADER, "traceparent"];
/// The longest idempotency key, in bytes.
const KEY_MAX: usize = 256;

/// Passes a call on to a plain service.
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
    let call = passed_on(parts, service, body);
    if !is_repeatable(cfg, &call) {
        return at_most_once(cx, parts, team, &name, call).await;
    }
    if cx.is_leaving() {
        return Err(ApiError::not_run(ApiCode::Leaving, "the node takes no new work"));
    }
    repeatable(cx, &name, call).await
}

async fn repeatable(
    cx: &Context,
    service: &ServiceName,
    call: ServiceCall,
) -> Result<Response<Body>, ApiError> {
    let mut attempts = Attempts::default();
    let mut last = unavailable();
    for backend in by_distance(cx, service) {
        attempts.begin();
        match pass(&backend, call.clone()).await {
            Ok(answer) => return Ok(to_response(answer)),
            Err(error) => {
                attempts.end(error.ran);
                last = failed(&error);
            }
        }
    }
    Err(last.ran(attempts.ran()))
}

async fn at_most_once(
    cx: &Arc<Context>,
    parts: &Parts,
    team: TeamName,
    service: &ServiceName,
    call: ServiceCall,
) -> Result<Response<Body>, ApiError> {
    let key = key_of(&call)?;
    let call = KeyedCall {
        team,
        service: service.clone(),
        key,
        ticket: ticket_of(parts)?,
        method: call.method.to_string(),
        path: call.path,
        headers: keyed::portable_headers(&call.headers),
        body: call.body,
    };
    keyed::call(cx, call).await.map(Stored::into_response)
}

fn ticket_of(parts: &Parts) -> Result<Option<Incarnation>, ApiError> {
    let Some(ticket) = parts.headers.get(TICKET_HEADER) else { return Ok(None) };
    let malformed = || ApiError::not_run(ApiCode::InvalidValue, "x-ticket is not a ticket");
    let ticket = ticket.to_str().ok().and_then(|ticket| ticket.strip_prefix("t-"));
    ticket.ok_or_else(malformed)?.parse().map(Some).map_err(|_| malformed())
}

/// Passes a call to one backend server.
pub(crate) async fn pass(
    backend: &Backend,
    call: ServiceCall,
) -> Result<ServiceResponse, CallError> {
    match &backend.client {
        BackendClient::Plain(service) => service.call(call).await,
        BackendClient::Engine(_) => Err(CallError::not_done(CallFault::Identity)),
    }
}

fn passed_on(parts: &Parts, service: &str, body: Bytes) -> ServiceCall {
    let full = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let prefix = format!("/v1/services/{service}");
    let path = full.strip_prefix(&prefix).filter(|rest| rest.starts_with('/')).unwrap_or("/");
    let mut headers = HeaderMap::new();
    for name in PASSED_HEADERS {
        let Some(value) = parts.headers.get(name) else { continue };
        headers.insert(name, value.clone());
    }
    ServiceCall { method: parts.method.clone(), path: path.to_owned(), headers, body, fence: None }
}

fn is_repeatable(cfg: &ServiceConfig, call: &ServiceCall) -> bool {
    let path = call.path.split('?').next().unwrap_or("/");
    cfg.is_idempotent(call.method.as_str(), path)
}

fn key_of(call: &ServiceCall) -> Result<Bytes, ApiError> {
    let missing = || {
        let message = "a call that may run at most once needs an Idempotency-Key";
        ApiError::not_run(ApiCode::MissingIdempotencyKey, message)
    };
    let key = call.headers.get(KEY_HEADER).ok_or_else(missing)?.as_bytes();
    if key.is_empty() {
        return Err(missing());
    }
    if KEY_MAX < key.len() {
        let message = format!("the Idempotency-Key is longer than {KEY_MAX} bytes");
        return Err(ApiError::not_run(ApiCode::InvalidValue, message));
    }
    Ok(Bytes::copy_from_slice(key))
}

/// Returns the backend servers of a service, near ones first.
pub(crate) fn by_distance(cx: &Context, service: &ServiceName) -> Vec<Backend> {
    let zone = &cx.settings.node.zone;
    let mut backends: Vec<Backend> =
        cx.backends.of(service).into_iter().map(|(_, backend)| backend).collect();
    backends.sort_by_key(|backend| (backend.zone != *zone, backend.vm.clone()));
    backends
}

fn unavailable() -> ApiError {
    ApiError::not_run(ApiCode::Unavailable, "no backend server could be reached")
}

fn failed(error: &CallError) -> ApiError {
    let code = if error.ran == Ran::No { ApiCode::Unavailable } else { ApiCode::BackendFailed };
    ApiError::not_run(code, error.to_string()).ran(error.ran)
}

fn to_response(answer: ServiceResponse) -> Response<Body> {
    let mut res = Response::new(full(answer.body));
    *res.status_mut() = answer.status;
    if let Some(content_type) = answer.headers.get(CONTENT_TYPE) {
        res.headers_mut().insert(CONTENT_TYPE, content_type.clone());
    }
    res
}
