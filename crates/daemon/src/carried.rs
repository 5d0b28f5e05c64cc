//! Calls of plain services that another node carries, since this one can't reach the servers.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::{Event, FencingNumber, Ran, ServiceName};
use bulrushhall_external::{
    CallError, CallFault,
    service::{ServiceCall, ServiceResponse},
};
use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode, header::HeaderName, header::HeaderValue};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    callers::{
        ApiError,
        services::{self, Repeat, Sent},
    },
    context::Context,
    keyed::portable_headers,
    members::Member,
    peers::{PeerMessage, PeerPort},
};

/// How many nodes are asked to carry a call.
const MAX_CARRIERS: usize = 2;
/// How long after no server could be reached the next call tries it again.
const LOST_TIME: Duration = Duration::from_millis(500);
/// The time of a carried call in addition to the timeout of its service.
const CARRY_GRACE: Duration = Duration::from_millis(500);

/// A `CarriedCall` is a call for a service whose servers the sender can't reach.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CarriedCall {
    /// The plain service.
    pub service: ServiceName,
    /// Whether it may run again.
    pub repeat: Repeat,
    /// The method.
    pub method: String,
    /// The path and query below the service.
    pub path: String,
    /// The headers that are forwarded.
    pub headers: Vec<(String, Bytes)>,
    /// The body.
    pub body: Bytes,
    /// The fencing number, for services that check it.
    pub fence: Option<FencingNumber>,
}

/// A `CarriedReply` is what came of a carried call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CarriedReply {
    /// Whether it has run.
    pub ran: Ran,
    /// Whether the carrying node could not reach the servers either.
    pub is_lost: bool,
    /// The response of the service.
    pub response: Option<CarriedResponse>,
}

/// A `CarriedResponse` is the response of a service in the form in which nodes forward it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CarriedResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(String, Bytes)>,
    /// The body.
    pub body: Bytes,
}

impl PeerMessage for CarriedCall {
    const PATH: &'static str = "/services/carry";
    type Reply = CarriedReply;
}

/// Registers the handler of carried calls.
pub fn register(port: &mut PeerPort) {
    port.register(|cx: Arc<Context>, _from, call: CarriedCall| async move {
        CarriedReply::of(carry(&cx, call).await)
    });
}

/// Sends a call over connections of this node, or over another node if no server can be reached.
pub(crate) async fn send(
    cx: &Context,
    service: &ServiceName,
    call: ServiceCall,
    repeat: Repeat,
) -> Result<Sent, ApiError> {
    let mut lost = Sent::lost(CallError::not_done(CallFault::Connect));
    if !cx.backends.is_lost(service, cx.clock.now()) {
        let sent = services::send(cx, service, &call, repeat).await?;
        if !sent.is_lost {
            note_reached(cx, service);
            return Ok(sent);
        }
        note_lost(cx, service);
        lost = sent;
    }
    let carried = CarriedCall::new(service.clone(), repeat, &call);
    for carrier in carriers(cx) {
        let sent = ask(cx, &carrier, &carried).await;
        if !sent.is_lost {
            return Ok(sent);
        }
    }
    Ok(lost)
}

async fn ask(cx: &Context, carrier: &Member, carried: &CarriedCall) -> Sent {
    let in_force = cx.in_force();
    let cfg = in_force.deployment.services.get(&carried.service);
    let limit = cfg.map_or(Duration::ZERO, |cfg| cfg.timeout.into()) + CARRY_GRACE;
    let asking = cx.carriers.send(cx, carrier.peers, Some(carrier.incarnation), carried.clone());
    match timeout(limit, asking).await {
        Ok(Ok(reply)) => reply.into_sent(),
        Ok(Err(error)) if error.ran == Ran::No => Sent::lost(error),
        Ok(Err(error)) => Sent::failed(error),
        Err(_) => Sent::failed(CallError::unknown(CallFault::Timeout)),
    }
}

// A carrying node uses its own connections only, so there is one hop.
async fn carry(cx: &Context, call: CarriedCall) -> Sent {
    let not_sent = || Sent::lost(CallError::not_done(CallFault::Connect));
    let service = call.service.clone();
    let repeat = call.repeat;
    let Some(call) = call.into_call() else { return not_sent() };
    if cx.is_leaving() || cx.backends.is_lost(&service, cx.clock.now()) {
        return not_sent();
    }
    services::send(cx, &service, &call, repeat).await.unwrap_or_else(|_| not_sent())
}

fn carriers(cx: &Context) -> Vec<Member> {
    let members = cx.members.current();
    let able = members.iter().filter(|member| !member.leaving && !member.suspected);
    let mut able: Vec<Member> = able.cloned().collect();
    able.shuffle(&mut rand::rng());
    able.truncate(MAX_CARRIERS);
    able
}

fn note_lost(cx: &Context, service: &ServiceName) {
    if cx.backends.note_lost(service, cx.clock.now() + LOST_TIME) {
        tracing::warn!(event = Event::ServersLost.number(), service = service.as_str());
    }
}

fn note_reached(cx: &Context, service: &ServiceName) {
    if cx.backends.note_reached(service) {
        tracing::info!(event = Event::ServersReached.number(), service = service.as_str());
    }
}

impl CarriedCall {
    fn new(service: ServiceName, repeat: Repeat, call: &ServiceCall) -> CarriedCall {
        CarriedCall {
            service,
            repeat,
            method: call.method.to_string(),
            path: call.path.clone(),
            headers: portable_headers(&call.headers),
            body: call.body.clone(),
            fence: call.fence,
        }
    }

    // Returns none if a part of the call is malformed.
    fn into_call(self) -> Option<ServiceCall> {
        Some(ServiceCall {
            method: Method::from_bytes(self.method.as_bytes()).ok()?,
            path: self.path,
            headers: headers_of(self.headers)?,
            body: self.body,
            fence: self.fence,
        })
    }
}

impl CarriedReply {
    fn of(sent: Sent) -> CarriedReply {
        let response = sent.response.map(|response| CarriedResponse {
            status: response.status.as_u16(),
            headers: portable_headers(&response.headers),
            body: response.body,
        });
        CarriedReply { ran: sent.ran, is_lost: sent.is_lost, response }
    }

    fn into_sent(self) -> Sent {
        if self.is_lost {
            return Sent::lost(CallError::not_done(CallFault::Connect));
        }
        let failed = CallError { fault: CallFault::Closed, ran: self.ran };
        match self.response.and_then(CarriedResponse::into_response) {
            Some(response) => Sent { response: Some(response), ..Sent::failed(failed) },
            None => Sent::failed(failed),
        }
    }
}

impl CarriedResponse {
    fn into_response(self) -> Option<ServiceResponse> {
        let status = StatusCode::from_u16(self.status).ok()?;
        Some(ServiceResponse { status, headers: headers_of(self.headers)?, body: self.body })
    }
}

fn headers_of(pairs: Vec<(String, Bytes)>) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(&value).ok()?);
    }
    Some(headers)
}
