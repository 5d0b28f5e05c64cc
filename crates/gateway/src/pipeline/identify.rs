//! Who asks, and by which route.

use std::sync::Arc;

use hyper::http::request;

use crate::{
    adapter::Call,
    gateway::Gateway,
    pipeline::Failure,
    table::{Route, RouteTable, TeamEntry},
};

/// The bytes of a header besides its name and value.
const HEADER_EXTRA: usize = 4;

/// An `Identified` request has a route and, where that asks for one, a team.
#[derive(Clone, Debug)]
pub struct Identified {
    /// What the caller asks for.
    pub call: Arc<Call>,
    /// The configuration that it is handled by.
    pub table: Arc<RouteTable>,
    /// The route.
    pub route: Arc<Route>,
    /// The team that the key belongs to.
    pub team: Option<Arc<TeamEntry>>,
}

impl Identified {
    /// Returns the rank of urgency, 0 being the first.
    pub fn rank(&self) -> u8 {
        let of_team = self.team.as_ref().and_then(|team| team.priority);
        of_team.unwrap_or(self.route.cfg.priority).min(9)
    }
}

/// Identifies a request.
pub fn identify(gateway: &Gateway, head: &request::Parts) -> Result<Identified, Failure> {
    let call = gateway.platform.wire.read_call(head).map_err(Failure::Malformed)?;
    let table = gateway.table.load_full().ok_or(Failure::ConfigUnknown)?;
    if table.limits.head_bytes < head_bytes(head) {
        return Err(Failure::HeadTooLarge);
    }
    if gateway.is_outdated() {
        return Err(Failure::ConfigUnknown);
    }
    let Some(route) = table.route(&call.host, head.uri.path()).cloned() else {
        // The route may be in a newer configuration that this node could not learn.
        return Err(if gateway.is_certain() { Failure::NoRoute } else { Failure::ConfigUnknown });
    };
    let mut team = None;
    if table.is_keyed() && !route.cfg.anonymous {
        team = call.key.as_deref().and_then(|key| table.team(key)).cloned();
        if team.is_none() {
            let certain = gateway.is_certain();
            return Err(if certain { Failure::UnknownKey } else { Failure::ConfigUnknown });
        }
        // The key may have been taken away in a newer configuration.
        if !gateway.may_use_keys() {
            return Err(Failure::ConfigUnknown);
        }
    }
    Ok(Identified { call: Arc::new(call), table, route, team })
}

// The bytes of a head as they are sent: each header has a colon, a space and the end of its line.
fn head_bytes(head: &request::Parts) -> usize {
    let headers = head.headers.iter();
    let headers: usize =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_EXTRA).sum();
    head.method.as_str().len()
        + head.uri.path_and_query().map_or(0, |path| path.as_str().len())
        + headers
}
