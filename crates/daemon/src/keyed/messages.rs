//! The messages between nodes for calls with an idempotency key.

use std::sync::Arc;

use bulrushhall_coord::KeyHash;
use bulrushhall_core::{Incarnation, ServiceName, TeamName};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    callers::ApiError,
    context::Context,
    keyed::{StoredResponse, home},
    peers::{PeerMessage, PeerPort},
};

/// A `KeyedCall` is a call with an idempotency key in the form in which nodes forward it.
///
/// Forwarding it again is harmless: the home runs the call of a key once and returns its outcome.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyedCall {
    /// The team.
    pub team: TeamName,
    /// The plain service.
    pub service: ServiceName,
    /// The idempotency key.
    pub key: Bytes,
    /// The node incarnation that is the home of the key: from the caller's ticket, or set by a node
    /// that forwards the call to the home. None if the home has to be looked up or claimed.
    pub ticket: Option<Incarnation>,
    /// The method.
    pub method: String,
    /// The path and query below the service.
    pub path: String,
    /// The headers that are forwarded.
    pub headers: Vec<(String, Bytes)>,
    /// The body.
    pub body: Bytes,
}

/// A `KeyedReply` is the outcome of a call with an idempotency key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum KeyedReply {
    /// The service responded.
    Answered(StoredResponse),
    /// The call was refused or failed.
    Failed(ApiError),
    /// The call is still running; ask again.
    Running,
}

/// A `ClaimKey` asks the node that writes a claim record to claim a key; the reply is the home of
/// the key, none if it could not be determined.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The hash of the key.
    pub key: u128,
    /// The node incarnation that becomes its home if it has none.
    pub home: Incarnation,
}

impl PeerMessage for ClaimKey {
    const PATH: &'static str = "/keyed/claim";
    type Reply = Option<Incarnation>;
}

impl PeerMessage for KeyedCall {
    const PATH: &'static str = "/keyed/call";
    type Reply = KeyedReply;
}

/// Registers the handlers of these messages.
pub fn register(port: &mut PeerPort) {
    port.register(|cx: Arc<Context>, _from, call: KeyedCall| async move {
        home::handle_forwarded(&cx, call).await
    });
    port.register(|cx: Arc<Context>, _from, claim: ClaimKey| async move {
        home::claim_locally(&cx, KeyHash(claim.key), claim.home).await?.ok()
    });
}
