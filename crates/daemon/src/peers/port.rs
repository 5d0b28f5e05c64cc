//! The port that takes messages of other nodes.

use std::{collections::HashMap, future::Future, sync::Arc, time::Duration};

use bulrushhall_external::{
    BoxFuture,
    http::{Body, Handler, empty, full, read_limited},
};
use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use tracing::{Instrument, Span};

use crate::{
    context::Context,
    peers::{Envelope, PeerMessage, Sender},
    telemetry::{TRACE_PARENT, with_remote_parent},
};

/// The largest message between nodes, in bytes.
pub const MESSAGE_LIMIT: usize = 4 << 20;
/// The longest time that a message may take to arrive.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// A `PeerHandler` takes one kind of message, still encoded.
pub trait PeerHandler: Send + Sync + 'static {
    /// Takes a message and returns the reply or the status that refuses it.
    fn receive(&self, message: Bytes) -> BoxFuture<'_, Result<Vec<u8>, StatusCode>>;
}

/// A `PeerPort` answers other nodes.
pub struct PeerPort {
    cx: Arc<Context>,
    handlers: HashMap<&'static str, Arc<dyn PeerHandler>>,
}

struct Typed<M, F> {
    cx: Arc<Context>,
    act: F,
    kind: std::marker::PhantomData<fn(M)>,
}

impl PeerPort {
    /// Returns a port that takes no message yet.
    pub fn new(cx: Arc<Context>) -> PeerPort {
        PeerPort { cx, handlers: HashMap::new() }
    }

    /// Registers what is done with one kind of message.
    pub fn register<M, F, R>(&mut self, act: F)
    where
        M: PeerMessage,
        F: Fn(Arc<Context>, Sender, M) -> R + Send + Sync + 'static,
        R: Future<Output = M::Reply> + Send + 'static,
    {
        let kind = std::marker::PhantomData;
        let typed = Typed::<M, F> { cx: Arc::clone(&self.cx), act, kind };
        self.handlers.insert(M::PATH, Arc::new(typed));
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        if req.method() != Method::POST {
            return refuse(StatusCode::METHOD_NOT_ALLOWED);
        }
        let Some(handler) = self.handlers.get(req.uri().path()) else {
            return refuse(StatusCode::NOT_FOUND);
        };
        let handler = Arc::clone(handler);
        let Ok(body) = read_limited(req.into_body(), MESSAGE_LIMIT, MESSAGE_TIMEOUT).await else {
            return refuse(StatusCode::BAD_REQUEST);
        };
        match handler.receive(body).await {
            Ok(reply) => Response::new(full(reply)),
            Err(status) => refuse(status),
        }
    }
}

impl<M, F, R> PeerHandler for Typed<M, F>
where
    M: PeerMessage,
    F: Fn(Arc<Context>, Sender, M) -> R + Send + Sync + 'static,
    R: Future<Output = M::Reply> + Send + 'static,
{
    fn receive(&self, message: Bytes) -> BoxFuture<'_, Result<Vec<u8>, StatusCode>> {
        Box::pin(async move {
            let envelope: Envelope<M> =
                rmp_serde::from_slice(&message).map_err(|_| StatusCode::BAD_REQUEST)?;
            // IP numbers are used again: a message for an earlier life must not be acted on.
            if envelope.to.is_some_and(|to| to != self.cx.incarnation) {
                return Err(StatusCode::GONE);
            }
            self.cx.note_peer();
            self.cx.note_revision(envelope.from.revision, envelope.from.incarnation);
            let body = (self.act)(Arc::clone(&self.cx), envelope.from, envelope.body).await;
            let reply = Envelope { from: self.cx.sender(), to: None, body };
            rmp_serde::to_vec_named(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
        })
    }
}

impl Handler for PeerPort {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        // A message that belongs to no request is no trace of its own.
        let span = match req.headers().contains_key(TRACE_PARENT) {
            true => {
                let node = &self.cx.settings.node.name;
                let path = req.uri().path();
                let span = tracing::info_span!("peer", otel.kind = "server", %node, path);
                with_remote_parent(span, req.headers())
            }
            false => Span::none(),
        };
        Box::pin(async move { self.answer(req).await }.instrument(span))
    }
}

fn refuse(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(empty());
    *answer.status_mut() = status;
    answer
}
