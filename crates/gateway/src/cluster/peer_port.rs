//! The port on which a node receives the digests of other nodes and replies to them.

use std::{str::FromStr, sync::Arc};

use bulrushhall_coord::{crashes::PartIds, decode_message, streams::StreamBatch};
use bulrushhall_external::{
    BoxFuture,
    http::{Body, BodyError, BodyLimits, CloseReason, Handler, UnreadBody, empty, full},
};
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::Serialize;

use crate::{
    backends::BackendUpdates,
    clock,
    cluster::{
        CARRY_PATH, COPIES_PATH, CarriedRequest, Digest, DigestScope, Document, FIND_PATH,
        FindServers, FindStreams, MemberUpdates, RecordCursor, SERVERS_PATH,
        advertise::{DigestOptions, build_digest},
        carry::{NOT_RUN, carry, failure_response},
        gossip::{
            DIGEST_PATH, DOCUMENT_PATH, MAX_MESSAGE_BYTES, RESPONSE_TIMEOUT, endpoint,
            fetch_document,
        },
        known_servers,
        receive::{DocumentFetch, receive_digest},
        stream_copies::{known_streams, take_copies},
    },
    crashes::{block_statuses, lift},
    gateway::Gateway,
    ports::Port,
    retries::{ENDED_PATH, EndedRetries, receive_ended},
    status::NodeReport,
};

/// The bytes of a carried request in addition to its body.
const CARRIED_HEAD_BYTES: usize = 128 * 1024;

/// The path at which operators see the prompt parts that are refused.
const BLOCKS_PATH: &str = "/blocks";
/// The path at which operators see the node's status.
const STATUS_PATH: &str = "/status";
/// The path at which operators lift such a block.
const LIFT_PATH: &str = "/blocks/lift";

/// A `PeerPort` handles the requests of other nodes.
pub struct PeerPort {
    gateway: Arc<Gateway>,
}

impl PeerPort {
    /// Returns the port of a node.
    pub fn new(gateway: Arc<Gateway>) -> PeerPort {
        PeerPort { gateway }
    }

    async fn respond(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        let query = req.uri().query().map(str::to_owned);
        // A carried request is held as a message and decoded.
        let (budget, bytes, copies) = match path.as_str() {
            CARRY_PATH => (&self.gateway.bodies, self.max_carried_bytes(), 2),
            _ => (&self.gateway.messages, MAX_MESSAGE_BYTES, 1),
        };
        let limits = BodyLimits { bytes, time: RESPONSE_TIMEOUT, copies };
        let (_, body) = UnreadBody::take_whole(req);
        let (body, _room) = match body.read(budget, limits).await {
            Ok(read) => read,
            Err(BodyError::NoRoom) if path == CARRY_PATH => return failure_response(NOT_RUN),
            Err(_) => return refuse(StatusCode::BAD_REQUEST),
        };
        match path.as_str() {
            DIGEST_PATH => {
                let Ok(digest) = decode_message::<Digest>(&body) else {
                    return refuse(StatusCode::BAD_REQUEST);
                };
                let (reply, fetch) = reply_to_digest(&self.gateway, digest);
                if let Some(fetch) = fetch {
                    let endpoint = endpoint(fetch.address);
                    tokio::spawn(async move { fetch_document(fetch, &endpoint).await });
                }
                encoded(&reply)
            }
            DOCUMENT_PATH => {
                let table = self.gateway.table.load_full();
                let bytes = table.map(|table| table.document.clone()).unwrap_or_default();
                encoded(&Document { bytes })
            }
            CARRY_PATH => match decode_message::<CarriedRequest>(&body) {
                Ok(carried) => carry(&self.gateway, carried).await,
                Err(_) => refuse(StatusCode::BAD_REQUEST),
            },
            COPIES_PATH => match decode_message::<StreamBatch>(&body) {
                Ok(batch) => encoded(&take_copies(&self.gateway, &batch)),
                Err(_) => refuse(StatusCode::BAD_REQUEST),
            },
            FIND_PATH => match decode_message::<FindStreams>(&body) {
                Ok(asked) => encoded(&known_streams(&self.gateway, &asked)),
                Err(_) => refuse(StatusCode::BAD_REQUEST),
            },
            SERVERS_PATH => match decode_message::<FindServers>(&body) {
                Ok(asked) => {
                    let now = clock::now();
                    let known = self.gateway.with(|state| known_servers(state, now, &asked));
                    encoded(&known)
                }
                Err(_) => refuse(StatusCode::BAD_REQUEST),
            },
            ENDED_PATH => match decode_message::<EndedRetries>(&body) {
                Ok(ended) => {
                    let received = vec![ended.clone()];
                    self.gateway.with(|state| receive_ended(&self.gateway, state, received));
                    encoded(&ended)
                }
                Err(_) => refuse(StatusCode::BAD_REQUEST),
            },
            STATUS_PATH => json(&NodeReport::of(&self.gateway)),
            BLOCKS_PATH => json(&block_statuses(&self.gateway)),
            LIFT_PATH => self.lift(query.as_deref().unwrap_or_default()),
            _ => refuse(StatusCode::NOT_FOUND),
        }
    }

    // Lifts the block of the parts in a query, which an operator asks for.
    fn lift(&self, query: &str) -> Response<Body> {
        let parts = query.strip_prefix("parts=").map(PartIds::from_str);
        let Some(Ok(parts)) = parts else { return refuse(StatusCode::BAD_REQUEST) };
        if !lift(&self.gateway, &parts) {
            return refuse(StatusCode::NOT_FOUND);
        }
        json(&block_statuses(&self.gateway))
    }

    fn max_carried_bytes(&self) -> usize {
        let table = self.gateway.table.load();
        let body_bytes = table.as_ref().map_or(0, |table| table.limits.body_bytes);
        body_bytes.saturating_add(CARRIED_HEAD_BYTES)
    }
}

/// Applies the digest of another node; returns the reply, and the fetch of the other node's configuration if one is due.
pub fn reply_to_digest(gateway: &Arc<Gateway>, digest: Digest) -> (Digest, Option<DocumentFetch>) {
    let (reply_scope, requester, cursor) =
        (digest.reply_scope, digest.incarnation, digest.record_cursor);
    if reply_scope == DigestScope::Others {
        gateway.with(|state| state.contacted_as_relay_at = Some(clock::now()));
    }
    let fetch = receive_digest(gateway, None, digest);
    let options = DigestOptions {
        scope: reply_scope,
        reply_scope: DigestScope::Nothing,
        to: Some(requester),
    };
    let mut reply = build_digest(gateway, options);
    if reply_scope == DigestScope::Others {
        reply.records = records(gateway, cursor);
    }
    (reply, fetch)
}

// Returns the record updates for a member without a relay, or with this node as its relay.
fn records(
    gateway: &Gateway,
    cursor: Option<RecordCursor>,
) -> Option<(BackendUpdates, MemberUpdates)> {
    let own = gateway.incarnation;
    let (backends, members) = match cursor {
        None => (0, 0),
        Some(cursor) if cursor.relay == own => (cursor.backends, cursor.members),
        Some(_) => return None,
    };
    gateway.with(|state| {
        let follows = state.records_steady_since.is_some();
        // On a silent connection no failure shows yet, and members have no other source.
        let now = clock::now();
        if !follows || !state.may_supply_records(now) {
            return None;
        }
        let count = state.backends.iter().count() + state.members.count();
        let link_mbps = gateway.settings.capacity.link_mbps;
        if cursor.is_none() && !state.reply_budget.take(now, count, link_mbps) {
            return None;
        }
        Some((state.backends.updates_since(backends), state.members.updates_since(members)))
    })
}

impl Handler for PeerPort {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.respond(req).await })
    }

    fn note_closed(&self, reason: CloseReason) {
        Port::Peers.note_closed(reason);
    }
}

fn encoded(message: &impl Serialize) -> Response<Body> {
    match rmp_serde::to_vec_named(message) {
        Ok(bytes) => Response::new(full(bytes)),
        Err(_) => refuse(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn json(message: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(message) {
        Ok(bytes) => Response::new(full(bytes)),
        Err(_) => refuse(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn refuse(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
