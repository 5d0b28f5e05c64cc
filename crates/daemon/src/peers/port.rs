//! The port that receives messages of other nodes.

use std::{collections::HashMap, future::Future, sync::Arc, time::Duration};

use bulrushhall_coord::decode_message;
use bulrushhall_external::{
    BoxFuture,
    http::{Body, BodyLimits, CloseReason, Handler, UnreadBody, empty, full},
};
use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use tracing::{Instrument, Span};

use crate::{
    context::Context,
    meters::Metric,
    peers::{Envelope, PeerMessage, Sender},
    telemetry::{TRACE_PARENT, with_remote_parent},
};

/// The maximum size of a message between nodes, in bytes.
pub const MESSAGE_LIMIT: usize = 4 << 20;
/// The maximum time in which a message must arrive.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// A `PeerHandler` is the handler of one kind of message in its encoded form.
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles a message and returns the encoded reply, or the HTTP status of a refusal.
    fn receive(&self, message: Bytes) -> BoxFuture<'_, Result<Vec<u8>, StatusCode>>;
}

/// A `PeerPort` is the HTTP handler for other nodes' messages.
pub struct PeerPort {
    cx: Arc<Context>,
    handlers: HashMap<&'static str, Arc<dyn PeerHandler>>,
}

struct TypedHandler<M, F> {
    cx: Arc<Context>,
    handler_fn: F,
    kind: std::marker::PhantomData<fn(M)>,
}

impl PeerPort {
    /// Returns a port without handlers.
    pub fn new(cx: Arc<Context>) -> PeerPort {
        PeerPort { cx, handlers: HashMap::new() }
    }

    /// Registers the handler of one kind of message.
    pub fn register<M, F, R>(&mut self, handler_fn: F)
    where
        M: PeerMessage,
        F: Fn(Arc<Context>, Sender, M) -> R + Send + Sync + 'static,
        R: Future<Output = M::Reply> + Send + 'static,
    {
        let kind = std::marker::PhantomData;
        let typed = TypedHandler::<M, F> { cx: Arc::clone(&self.cx), handler_fn, kind };
        self.handlers.insert(M::PATH, Arc::new(typed));
    }

    async fn respond(&self, req: Request<Incoming>) -> Response<Body> {
        if req.method() != Method::POST {
            return refuse(StatusCode::METHOD_NOT_ALLOWED);
        }
        let Some(handler) = self.handlers.get(req.uri().path()) else {
            return refuse(StatusCode::NOT_FOUND);
        };
        let handler = Arc::clone(handler);
        let limits = BodyLimits { bytes: MESSAGE_LIMIT, time: MESSAGE_TIMEOUT, copies: 1 };
        let (_, body) = UnreadBody::take_whole(req);
        let Ok((body, _room)) = body.read(&self.cx.messages, limits).await else {
            return refuse(StatusCode::BAD_REQUEST);
        };
        match handler.receive(body).await {
            Ok(reply) => Response::new(full(reply)),
            Err(status) => refuse(status),
        }
    }
}

impl<M, F, R> PeerHandler for TypedHandler<M, F>
where
    M: PeerMessage,
    F: Fn(Arc<Context>, Sender, M) -> R + Send + Sync + 'static,
    R: Future<Output = M::Reply> + Send + 'static,
{
    fn receive(&self, message: Bytes) -> BoxFuture<'_, Result<Vec<u8>, StatusCode>> {
        Box::pin(async move {
            let envelope: Envelope<M> =
                decode_message(&message).map_err(|_| StatusCode::BAD_REQUEST)?;
            // IP addresses are reused: a message to an earlier incarnation must not be acted on.
            if envelope.to.is_some_and(|to| to != self.cx.incarnation) {
                return Err(StatusCode::GONE);
            }
            self.cx.note_peer();
            self.cx.note_revision(envelope.from.revision, envelope.from.incarnation);
            let body = (self.handler_fn)(Arc::clone(&self.cx), envelope.from, envelope.body).await;
            let reply = Envelope { from: self.cx.sender(), to: None, body };
            rmp_serde::to_vec_named(&reply).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
        })
    }
}

impl Handler for PeerPort {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        // A message without trace context belongs to no request and does not start a trace.
        let span = match req.headers().contains_key(TRACE_PARENT) {
            true => {
                let node = &self.cx.settings.node.name;
                let path = req.uri().path();
                let span = tracing::info_span!("peer", otel.kind = "server", %node, path);
                with_remote_parent(span, req.headers())
            }
            false => Span::none(),
        };
        Box::pin(async move { self.respond(req).await }.instrument(span))
    }

    fn note_closed(&self, reason: CloseReason) {
        self.cx.meters.count(
            Metric::ConnectionsClosed,
            &[("port", "peers"), ("reason", reason.as_str())],
            1,
        );
    }
}

fn refuse(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
