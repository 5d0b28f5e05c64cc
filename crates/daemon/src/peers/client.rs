//! The client side of messages between nodes.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bulrushhall_coord::decode_message;
use bulrushhall_core::Incarnation;
use bulrushhall_external::{
    CallError, CallFault,
    http::{BodyTimeouts, Endpoint, EndpointOptions, Tls, read_with_timeouts},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};

use crate::{
    context::Context,
    peers::{Envelope, MESSAGE_LIMIT, PeerMessage, Sender},
};

/// The maximum time until a reply begins.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The maximum time until a reply that waits for a service begins; the sender gives up earlier.
const LONG_REPLY_TIMEOUT: Duration = Duration::from_secs(600);
/// The timeouts of a reply's body, which may contain a whole configuration.
const REPLY_BODY_TIMEOUTS: BodyTimeouts =
    BodyTimeouts { idle: REPLY_TIMEOUT, total: Duration::from_secs(10) };
/// The maximum time for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A `PeerClient` is the client for messages to other nodes; it reuses connections.
pub struct PeerClient {
    endpoints: Mutex<HashMap<SocketAddr, Arc<Endpoint>>>,
    tls: Option<Arc<Tls>>,
    reply_timeout: Duration,
}

impl PeerClient {
    /// Returns a client that uses TLS if `tls` is given.
    pub fn new(tls: Option<Arc<Tls>>) -> PeerClient {
        PeerClient { endpoints: Mutex::default(), tls, reply_timeout: REPLY_TIMEOUT }
    }

    /// Returns a client for messages whose replies take as long as a call of a service.
    pub fn for_long_replies(tls: Option<Arc<Tls>>) -> PeerClient {
        PeerClient { reply_timeout: LONG_REPLY_TIMEOUT, ..PeerClient::new(tls) }
    }

    /// Sends a message to the node at `address`, only to the incarnation `to` if given.
    ///
    /// The error contains whether the peer may have acted on the message.
    pub async fn send<M: PeerMessage>(
        &self,
        cx: &Context,
        address: SocketAddr,
        to: Option<Incarnation>,
        body: M,
    ) -> Result<M::Reply, CallError> {
        self.ask(cx, address, to, body).await.map(|(_, reply)| reply)
    }

    /// Does the same as [`PeerClient::send`] and also returns the sender of the reply.
    pub async fn ask<M: PeerMessage>(
        &self,
        cx: &Context,
        address: SocketAddr,
        to: Option<Incarnation>,
        body: M,
    ) -> Result<(Sender, M::Reply), CallError> {
        let envelope = Envelope { from: cx.sender(), to, body };
        let malformed = || CallError::not_done(CallFault::Malformed);
        let bytes = rmp_serde::to_vec_named(&envelope).map_err(|_| malformed())?;
        let req = Request::post(M::PATH).body(Full::new(Bytes::from(bytes)));
        let response = self.endpoint(address).send(req.map_err(|_| malformed())?).await?;

        let status = response.status();
        if status != StatusCode::OK {
            return Err(CallError::not_done(CallFault::Refused { status: status.as_u16() }));
        }
        let reply =
            read_with_timeouts(response.into_body(), MESSAGE_LIMIT, REPLY_BODY_TIMEOUTS).await;
        let reply = reply.map_err(|error| CallError::unknown(error.into()))?;
        let reply: Envelope<M::Reply> =
            decode_message(&reply).map_err(|_| CallError::unknown(CallFault::Malformed))?;
        cx.note_peer();
        cx.note_revision(reply.from.revision, reply.from.incarnation);
        Ok((reply.from, reply.body))
    }

    /// Drops the connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        let mut endpoints = self.endpoints.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        endpoints.remove(&address);
    }

    fn endpoint(&self, address: SocketAddr) -> Arc<Endpoint> {
        let mut endpoints = self.endpoints.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let endpoint = endpoints.entry(address).or_insert_with(|| {
            let options = EndpointOptions {
                connect_timeout: CONNECT_TIMEOUT,
                response_timeout: self.reply_timeout,
                tls: self.tls.clone(),
                ..EndpointOptions::default()
            };
            Arc::new(Endpoint::new(address, options))
        });
        Arc::clone(endpoint)
    }
}
