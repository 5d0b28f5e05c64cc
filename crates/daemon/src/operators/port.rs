//! The HTTP handler of the operators' port.

use std::sync::Arc;

use bulrushhall_core::RequestId;
use bulrushhall_external::{
    BoxFuture,
    http::{Body, CloseReason, Handler, full},
};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Serialize;

use crate::{
    context::Context,
    meters::Metric,
    operators::{NodeStatus, RequestStatus},
};

/// The content type of metrics.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// An `OperatorPort` is the HTTP handler for operators and monitoring.
pub struct OperatorPort {
    cx: Arc<Context>,
}

impl OperatorPort {
    /// Returns the port of a node.
    pub fn new(cx: Arc<Context>) -> OperatorPort {
        OperatorPort { cx }
    }

    async fn respond(&self, method: &Method, path: &str) -> Response<Body> {
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match (method.as_str(), segments.as_slice()) {
            ("GET", ["healthz"]) => text(StatusCode::OK, "ok\n"),
            ("GET", ["readyz"]) => self.ready(),
            ("GET", ["metrics"]) => self.metrics().await,
            ("GET", ["status"]) => json(StatusCode::OK, &NodeStatus::of(&self.cx).await),
            ("GET", ["requests", id]) => self.request(id),
            ("POST", ["drain"]) => {
                self.cx.leave();
                json(StatusCode::ACCEPTED, &NodeStatus::of(&self.cx).await)
            }
            _ => text(StatusCode::NOT_FOUND, "not found\n"),
        }
    }

    fn ready(&self) -> Response<Body> {
        if self.cx.is_leaving() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
        }
        if self.cx.is_isolated() {
            return text(StatusCode::SERVICE_UNAVAILABLE, "neither service nor peers reached\n");
        }
        if self.cx.in_force().revision.0 == 0 {
            return text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
        }
        text(StatusCode::OK, "ready\n")
    }

    async fn metrics(&self) -> Response<Body> {
        self.cx.meters.sample(&self.cx).await;
        let mut response = text(StatusCode::OK, &self.cx.meters.render());
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(METRICS_TYPE));
        response
    }

    fn request(&self, id: &str) -> Response<Body> {
        let Ok(id) = id.parse::<RequestId>() else {
            return text(StatusCode::BAD_REQUEST, "malformed request id\n");
        };
        match self.cx.answers.get(id) {
            Some(answer) => json(StatusCode::OK, &RequestStatus::of(&self.cx, &answer)),
            None => text(StatusCode::NOT_FOUND, "no such request\n"),
        }
    }
}

impl Handler for OperatorPort {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.respond(req.method(), req.uri().path()).await })
    }

    fn note_closed(&self, reason: CloseReason) {
        self.cx.meters.count(
            Metric::ConnectionsClosed,
            &[("port", "operators"), ("reason", reason.as_str())],
            1,
        );
    }
}

fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let Ok(bytes) = serde_json::to_vec(value) else {
        return text(StatusCode::INTERNAL_SERVER_ERROR, "the answer could not be written\n");
    };
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn text(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(full(text.to_owned()));
    *response.status_mut() = status;
    response
}
