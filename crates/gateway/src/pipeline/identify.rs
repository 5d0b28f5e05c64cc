//! Identification of the caller's team and of the route.

use std::sync::Arc;

use bulrushhall_coord::streams::StreamOrigin;
use bulrushhall_core::{ServiceName, config::RouteKind};
use hyper::http::request;

use crate::{
    adapter::Call,
    crashes::{Fingerprint, ProbeClaim},
    gateway::Gateway,
    pipeline::{Failure, serve::service_hash},
    table::{Route, RouteTable, TeamEntry},
};

/// The bytes of a header line in addition to the name and the value: colon, space and line end.
const HEADER_OVERHEAD: usize = 4;

/// An `IdentifiedRequest` is a request with its route and, if that route needs one, its team.
#[derive(Clone, Debug)]
pub struct IdentifiedRequest {
    /// What the caller requests.
    pub call: Arc<Call>,
    /// The configuration under which it is handled.
    pub table: Arc<RouteTable>,
    /// The route.
    pub route: Arc<Route>,
    /// The team that the key belongs to.
    pub team: Option<Arc<TeamEntry>>,
    /// What identifies its content; empty until its body was read.
    pub fingerprint: Arc<Fingerprint>,
    /// Where the stream began that it resumes, if it resumes one.
    pub origin: Option<StreamOrigin>,
    /// The right to be sent although it is refused, if it is to show whether it still crashes its server.
    pub probe: Option<Arc<ProbeClaim>>,
}

impl IdentifiedRequest {
    /// Returns the priority, 0 being the most urgent.
    pub fn rank(&self) -> u8 {
        let team_priority = self.team.as_ref().and_then(|team| team.priority);
        team_priority.unwrap_or(self.route.cfg.priority).min(9)
    }

    /// Returns the service that it goes to: that of the stream that it resumes, or the one that the traffic split chooses.
    pub fn service(&self) -> Option<&ServiceName> {
        match &self.origin {
            Some(origin) => Some(&origin.service),
            None => self.route.cfg.service(service_hash(self)),
        }
    }

    /// Returns whether it can only end at the backend server where it runs.
    pub fn is_bound(&self) -> bool {
        matches!(self.route.cfg.kind, RouteKind::AtMostOnce | RouteKind::Stream)
    }
}

/// Returns a request with its route and team.
pub fn identify(gateway: &Gateway, head: &request::Parts) -> Result<IdentifiedRequest, Failure> {
    let call = gateway.platform.wire.read_call(head).map_err(Failure::Malformed)?;
    let table = gateway.table.load_full().ok_or(Failure::ConfigUnknown)?;
    if table.limits.head_bytes < head_bytes(head) {
        return Err(Failure::HeadTooLarge);
    }
    if gateway.is_outdated() {
        return Err(Failure::ConfigUnknown);
    }
    let Some(route) = table.route(&call.host, head.uri.path()).cloned() else {
        // The route may be in a newer configuration that this node did not receive.
        return Err(if gateway.is_config_current() {
            Failure::NoRoute
        } else {
            Failure::ConfigUnknown
        });
    };
    let mut team = None;
    if table.is_keyed() && !route.cfg.anonymous {
        team = call.key.as_deref().and_then(|key| table.team(key)).cloned();
        if team.is_none() {
            let is_current = gateway.is_config_current();
            return Err(if is_current { Failure::UnknownKey } else { Failure::ConfigUnknown });
        }
        // The key may have been revoked in a newer configuration.
        if !gateway.may_use_keys() {
            return Err(Failure::ConfigUnknown);
        }
    }
    Ok(IdentifiedRequest {
        call: Arc::new(call),
        table,
        route,
        team,
        fingerprint: Arc::default(),
        origin: None,
        probe: None,
    })
}

// The size of a head on the wire.
fn head_bytes(head: &request::Parts) -> usize {
    let headers = head.headers.iter();
    let headers: usize =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD).sum();
    head.method.as_str().len()
        + head.uri.path_and_query().map_or(0, |path| path.as_str().len())
        + headers
}
