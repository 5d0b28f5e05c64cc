//! The port that takes what other nodes tell, and answers them.

use std::sync::Arc;

use bulrushhall_external::{
    BoxFuture,
    http::{Body, Handler, empty, full, read_limited},
};
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::Serialize;

use crate::{
    backends::RecordNews,
    clock,
    cluster::{
        Digest, DigestScope, Document, MemberNews, RecordsKnown,
        exchange::{ANSWER, DIGEST_PATH, DOCUMENT_PATH, MESSAGE_LIMIT, endpoint, read_document},
        hear::hear,
        tell::{Message, digest},
    },
    gateway::Gateway,
};

/// A `PeerPort` answers other nodes.
pub struct PeerPort {
    gateway: Arc<Gateway>,
}

impl PeerPort {
    /// Returns the port of a node.
    pub fn new(gateway: Arc<Gateway>) -> PeerPort {
        PeerPort { gateway }
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        let Ok(body) = read_limited(req.into_body(), MESSAGE_LIMIT, ANSWER).await else {
            return refuse(StatusCode::BAD_REQUEST);
        };
        match path.as_str() {
            DIGEST_PATH => {
                let Ok(told) = rmp_serde::from_slice::<Digest>(&body) else {
                    return refuse(StatusCode::BAD_REQUEST);
                };
                self.exchange(told)
            }
            DOCUMENT_PATH => {
                let table = self.gateway.table.load_full();
                let bytes = table.map(|table| table.document.clone()).unwrap_or_default();
                encoded(&Document { bytes })
            }
            _ => refuse(StatusCode::NOT_FOUND),
        }
    }

    fn exchange(&self, told: Digest) -> Response<Body> {
        let (reply_scope, asker, known) = (told.reply_scope, told.incarnation, told.records_known);
        if reply_scope == DigestScope::Others {
            self.gateway.with(|state| state.relay_asked_at = Some(clock::now()));
        }
        if let Some(reading) = hear(&self.gateway, None, told) {
            let endpoint = endpoint(reading.address);
            tokio::spawn(async move { read_document(reading, &endpoint).await });
        }
        let answer =
            Message { scope: reply_scope, reply_scope: DigestScope::Nothing, to: Some(asker) };
        let mut answer = digest(&self.gateway, answer);
        if reply_scope == DigestScope::Others {
            answer.records = self.records(known);
        }
        encoded(&answer)
    }
}

impl PeerPort {
    // The records for a member that nobody tells them, or that this node told them so far.
    fn records(&self, known: Option<RecordsKnown>) -> Option<(RecordNews, MemberNews)> {
        let own = self.gateway.incarnation;
        let (backends, members) = match known {
            None => (0, 0),
            Some(known) if known.by == own => (known.backends, known.members),
            Some(_) => return None,
        };
        self.gateway.with(|state| {
            let follows = state.records_steady_since.is_some();
            follows.then(|| (state.backends.news(backends), state.members.news(members)))
        })
    }
}

impl Handler for PeerPort {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.answer(req).await })
    }
}

fn encoded(message: &impl Serialize) -> Response<Body> {
    match rmp_serde::to_vec_named(message) {
        Ok(bytes) => Response::new(full(bytes)),
        Err(_) => refuse(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn refuse(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(empty());
    *answer.status_mut() = status;
    answer
}
