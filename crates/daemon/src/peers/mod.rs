//! The port for other nodes: typed messages, one kind a path.

use std::{collections::HashMap, sync::Arc};

use bulrushhall_platform::{
    BoxFuture,
    http::{Body, Handler, empty, full, read_limited},
};
use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};

/// The largest message between nodes, in bytes.
pub const MESSAGE_LIMIT: usize = 4 << 20;
/// The longest time that a message may take to arrive.
const MESSAGE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// A `PeerHandler` takes one kind of message from other nodes.
pub trait PeerHandler: Send + Sync + 'static {
    /// Takes a message and returns the reply; none if the message is malformed.
    fn receive(&self, message: Bytes) -> BoxFuture<'_, Option<Bytes>>;
}

/// A `PeerPort` answers other nodes.
#[derive(Default)]
pub struct PeerPort {
    handlers: HashMap<&'static str, Arc<dyn PeerHandler>>,
}

impl PeerPort {
    /// Registers the handler of one kind of message, sent to `path`.
    pub fn register(&mut self, path: &'static str, handler: Arc<dyn PeerHandler>) {
        self.handlers.insert(path, handler);
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        if req.method() != Method::POST {
            return status(StatusCode::METHOD_NOT_ALLOWED);
        }
        let Some(handler) = self.handlers.get(req.uri().path()) else {
            return status(StatusCode::NOT_FOUND);
        };
        let handler = Arc::clone(handler);
        let Ok(body) = read_limited(req.into_body(), MESSAGE_LIMIT, MESSAGE_TIMEOUT).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        match handler.receive(body).await {
            Some(reply) => Response::new(full(reply)),
            None => status(StatusCode::BAD_REQUEST),
        }
    }
}

impl Handler for PeerPort {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.answer(req).await })
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(empty());
    *answer.status_mut() = status;
    answer
}
