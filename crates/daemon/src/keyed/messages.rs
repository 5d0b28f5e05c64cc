//! Calls with a key that are passed on to the key's home.

use std::sync::Arc;

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

impl PeerMessage for KeyedCall {
    const PATH: &'static str = "/keyed/call";
    type Reply = KeyedReply;
}

/// Registers what is done with the messages.
pub fn register(port: &mut PeerPort) {
    port.register(|cx: Arc<Context>, _from, call: KeyedCall| async move {
        home::passed_on(&cx, call).await
    });
}
