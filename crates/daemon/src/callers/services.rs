//! `/v1/services/{service}/{path}`: calls that are passed to plain services.

use std::sync::{Arc, MutexGuard};

use bulrushhall_coord::{Claim, Ledger};
use bulrushhall_core::{
    Ran, ServiceName, TeamName,
    config::{ServiceConfig, ServiceType},
};
use bulrushhall_platform::{
    CallError, CallFault,
    http::{Body, full},
    service::{ServiceAnswer, ServiceCall},
};
use bytes::Bytes;
use hyper::{HeaderMap, Response, header::CONTENT_TYPE, http::request::Parts};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    backends::{Backend, BackendClient},
    callers::{ApiCode, ApiError, identify::identify, respond},
    context::Context,
};

/// The header that carries a caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
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
    if cx.is_leaving() {
        return Err(ApiError::not_run(ApiCode::Leaving, "the node takes no new work"));
    }
    let call = passed_on(parts, service, body);
    if is_repeatable(cfg, &call) {
        return repeatable(cx, &name, call).await;
    }
    at_most_once(cx, team, &name, call).await
}

async fn repeatable(
    cx: &Context,
    service: &ServiceName,
    call: ServiceCall,
) -> Result<Response<Body>, ApiError> {
    let mut last = unavailable(Ran::No);
    for backend in by_distance(cx, service) {
        match pass(&backend, call.clone()).await {
            Ok(answer) => return Ok(to_response(answer)),
            Err(error) => last = failed(&error),
        }
    }
    Err(last)
}

async fn at_most_once(
    cx: &Context,
    team: TeamName,
    service: &ServiceName,
    call: ServiceCall,
) -> Result<Response<Body>, ApiError> {
    let key = key_of(&call)?;
    let hash = xxh3_64(&[call.path.as_bytes(), b"\n", &call.body].concat());
    let claim = ledger(cx).claim(cx.clock.now(), &team, &key, hash);
    match claim {
        Claim::Run => {}
        Claim::Running => {
            let message = "a call with this key still runs";
            return Err(ApiError::not_run(ApiCode::KeyInProgress, message).ran(Ran::Unknown));
        }
        Claim::Settled(_, Some(stored)) => return Ok(respond::json_bytes(stored)),
        Claim::Settled(ran, None) => {
            let message = "an earlier call with this key ended without an answer";
            return Err(ApiError::not_run(ApiCode::BackendFailed, message).ran(ran));
        }
        Claim::OtherBody => {
            let message = "the key was used for another call";
            return Err(ApiError::not_run(ApiCode::KeyReused, message));
        }
        Claim::Full => {
            let message = "no more keys can be remembered now";
            return Err(ApiError::not_run(ApiCode::Overloaded, message));
        }
    }

    // Only an attempt that certainly wrote nothing may be followed by another one.
    let mut last = unavailable(Ran::No);
    for backend in by_distance(cx, service) {
        match pass(&backend, call.clone()).await {
            Ok(answer) if answer.status.is_success() => {
                let stored = Some(answer.body.clone());
                ledger(cx).settle(cx.clock.now(), &team, &key, Ran::Yes, stored);
                return Ok(to_response(answer));
            }
            Ok(answer) => {
                let status = answer.status.as_u16();
                last = failed(&CallError::unknown(CallFault::Refused { status }));
            }
            Err(error) => last = failed(&error),
        }
        if last.ran != Ran::No {
            break;
        }
    }
    ledger(cx).settle(cx.clock.now(), &team, &key, last.ran, None);
    Err(last)
}

async fn pass(backend: &Backend, call: ServiceCall) -> Result<ServiceAnswer, CallError> {
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

fn by_distance(cx: &Context, service: &ServiceName) -> Vec<Backend> {
    let zone = &cx.settings.node.zone;
    let mut backends: Vec<Backend> =
        cx.backends.of(service).into_iter().map(|(_, backend)| backend).collect();
    backends.sort_by_key(|backend| (backend.zone != *zone, backend.vm.clone()));
    backends
}

fn ledger(cx: &Context) -> MutexGuard<'_, Ledger> {
    cx.ledger.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn unavailable(ran: Ran) -> ApiError {
    ApiError::not_run(ApiCode::Unavailable, "no backend server could be reached").ran(ran)
}

fn failed(error: &CallError) -> ApiError {
    let code = if error.ran == Ran::No { ApiCode::Unavailable } else { ApiCode::BackendFailed };
    ApiError::not_run(code, error.to_string()).ran(error.ran)
}

fn to_response(answer: ServiceAnswer) -> Response<Body> {
    let mut res = Response::new(full(answer.body));
    *res.status_mut() = answer.status;
    if let Some(content_type) = answer.headers.get(CONTENT_TYPE) {
        res.headers_mut().insert(CONTENT_TYPE, content_type.clone());
    }
    res
}
