//! The origin of a stream that a caller resumes.

use bulrushhall_coord::streams::{Found, StreamKey, StreamOrigin};
use bulrushhall_core::config::RouteKind;

use crate::{
    clock,
    cluster::{find_stream, learn_servers},
    gateway::Gateway,
    meters,
    pipeline::{Failure, identify::IdentifiedRequest, serve::service_hash},
    streams::{lifetime, note_touch, note_versions, stream_key},
};

/// Returns where the stream began that a request resumes; none if it begins a stream.
///
/// Without the certainty where it began it is refused: events of two versions do not fit together.
pub async fn resumed_origin(
    gateway: &Gateway,
    req: &IdentifiedRequest,
) -> Result<Option<StreamOrigin>, Failure> {
    let call = &req.call;
    let is_resumption = call.resume_after.is_some() || call.resumes.is_some();
    if req.route.cfg.kind != RouteKind::ResumableStream || !is_resumption {
        return Ok(None);
    }
    let key = call.resumes.as_deref().map(|attempt| stream_key(req, attempt));
    let now = clock::now();
    let known = key.and_then(|key| gateway.with(|state| state.streams.origins.find(now, key)));
    if let Some(found) = known {
        return reachable_origin(gateway, req, (key, found), "known").await.map(Some);
    }
    if let Some(only) = only_origin(gateway, req) {
        meters::stream_resumption("only_version");
        return Ok(Some(only));
    }
    let Some(key) = key else { return Err(unknown()) };
    let found = find_stream(gateway, key).await.ok_or_else(unknown)?;
    reachable_origin(gateway, req, (Some(key), found), "asked").await.map(Some)
}

// Returns the origin if the route still leads to its service, and learns of its servers from other nodes if need be.
async fn reachable_origin(
    gateway: &Gateway,
    req: &IdentifiedRequest,
    (key, found): (Option<StreamKey>, Found),
    outcome: &'static str,
) -> Result<StreamOrigin, Failure> {
    let origin = served_origin(req, found, outcome)?;
    if let Some(key) = key {
        learn_servers(gateway, key, &origin).await;
    }
    Ok(origin)
}

fn unknown() -> Failure {
    meters::stream_resumption("unknown");
    Failure::StreamUnknown
}

// Returns the origin if the route still leads to its service.
fn served_origin(
    req: &IdentifiedRequest,
    found: Found,
    outcome: &'static str,
) -> Result<StreamOrigin, Failure> {
    let Found::Origin(origin) = found else { return Err(unknown()) };
    if req.route.cfg.services.iter().all(|share| share.service != origin.service) {
        meters::stream_resumption("not_routed");
        return Err(Failure::VersionUnavailable);
    }
    meters::stream_resumption(outcome);
    Ok(origin)
}

// Returns the only version that the service has had for as long as the stream may have lasted.
fn only_origin(gateway: &Gateway, req: &IdentifiedRequest) -> Option<StreamOrigin> {
    let service = req.route.cfg.service(service_hash(req))?;
    let (now, horizon) = (clock::now(), lifetime(&req.route.cfg));
    gateway.with(|state| {
        // Servers may have come, and nodes gone, since the last round of gossip.
        note_versions(state, now);
        note_touch(state, now);
        let version = state.streams.versions.only(now, service, horizon)?.to_owned();
        Some(StreamOrigin { service: service.clone(), version })
    })
}
