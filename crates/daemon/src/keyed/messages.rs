//! Calls with a key that are passed on to the key's home.

use std::sync::Arc;

use bulrushhall_coord::KeyHash;
use bulrushhall_core::{Incarnation, ServiceName, TeamName};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    callers::ApiError,
    context::Context,
    keyed::{Stored, home},
    peers::{PeerMessage, PeerPort},
};

/// A `KeyedCall` is a call with a key in the form in which it goes from node to node.
///
/// Repeating it is harmless: the home runs a key's call once and tells how it went.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyedCall {
    /// The team.
    pub team: TeamName,
    /// The plain service.
    pub service: ServiceName,
    /// The key.
    pub key: Bytes,
    /// The life whose ticket the caller gave; none where the key is the caller's own.
    pub ticket: Option<Incarnation>,
    /// The method.
    pub method: String,
    /// The path and query below the service.
    pub path: String,
    /// The headers that are passed on.
    pub headers: Vec<(String, Bytes)>,
    /// The body.
    pub body: Bytes,
}

/// A `KeyedReply` tells how a call with a key went.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum KeyedReply {
    /// The service answered.
    Answered(Stored),
    /// The call was refused or failed.
    Failed(ApiError),
    /// The call still runs; ask again.
    Running,
}

/// A `ClaimFor` asks the node that writes a record to claim a key; the reply is the key's home,
/// none if it could not be learnt.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ClaimFor {
    /// The hash of the key.
    pub key: u128,
    /// The life that becomes its home if it has none.
    pub home: Incarnation,
}

impl PeerMessage for ClaimFor {
    const PATH: &'static str = "/keyed/claim";
    type Reply = Option<Incarnation>;
}

impl PeerMessage for KeyedCall {
    const PATH: &'static str = "/keyed/call";
    type Reply = KeyedReply;
}

/// Registers what is done with the messages.
pub fn register(port: &mut PeerPort) {
    port.register(|cx: Arc<Context>, _from, call: KeyedCall| async move {
        home::passed_on(&cx, call).await
    });
    port.register(|cx: Arc<Context>, _from, claim: ClaimFor| async move {
        home::claim_here(&cx, KeyHash(claim.key), claim.home).await?.ok()
    });
}
