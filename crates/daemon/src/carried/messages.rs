//! The messages by which one node carries a call of another one.

use bulrushhall_core::{FencingNumber, Ran, ServiceName};
use bulrushhall_external::{
    CallError, CallFault,
    service::{ServiceCall, ServiceResponse},
};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    callers::sent::{Repeat, Sent},
    keyed::{headers_of, portable_headers},
    peers::PeerMessage,
};

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

impl CarriedCall {
    /// Returns a call in the form of a message.
    pub(super) fn new(service: ServiceName, repeat: Repeat, call: &ServiceCall) -> CarriedCall {
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

    /// Returns the call; none if a part of it is malformed.
    pub(super) fn into_call(self) -> Option<ServiceCall> {
        Some(ServiceCall {
            method: Method::from_bytes(self.method.as_bytes()).ok()?,
            path: self.path,
            headers: headers_of(&self.headers)?,
            body: self.body,
            fence: self.fence,
        })
    }
}

impl CarriedReply {
    /// Returns the reply that tells what came of a call.
    pub(super) fn of(sent: Sent) -> CarriedReply {
        let response = sent.response.map(|response| CarriedResponse {
            status: response.status.as_u16(),
            headers: portable_headers(&response.headers),
            body: response.body,
        });
        CarriedReply { ran: sent.ran, is_lost: sent.is_lost, response }
    }

    /// Returns what came of the call.
    pub(super) fn into_sent(self) -> Sent {
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
        Some(ServiceResponse { status, headers: headers_of(&self.headers)?, body: self.body })
    }
}
