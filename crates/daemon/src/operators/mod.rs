//! The operators' port: health, readiness, metrics and status.

use std::sync::Arc;

use bulrushhall_platform::{
    BoxFuture,
    http::{Body, Handler, empty, full},
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::json;

use crate::context::Context;

/// An `OperatorPort` answers operators and monitoring.
pub struct OperatorPort {
    cx: Arc<Context>,
}

impl OperatorPort {
    /// Returns the port of a node.
    pub fn new(cx: Arc<Context>) -> OperatorPort {
        OperatorPort { cx }
    }

    fn answer(&self, method: &Method, path: &str) -> Response<Body> {
        match (method, path) {
            (&Method::GET, "/healthz") => text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => self.ready(),
            (&Method::GET, "/status") => self.status(),
            (&Method::POST, "/drain") => {
                self.cx.leave();
                text(StatusCode::ACCEPTED, "leaving\n")
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

    fn status(&self) -> Response<Body> {
        let cx = &self.cx;
        let value = json!({
            "node": cx.settings.node.name,
            "zone": cx.settings.node.zone,
            "incarnation": cx.incarnation.to_string(),
            "revision": cx.in_force().revision,
            "leaving": cx.is_leaving(),
            "unfinished": cx.answers.unfinished(),
        });
        text(StatusCode::OK, &value.to_string())
    }
}

impl Handler for OperatorPort {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.answer(req.method(), req.uri().path()) })
    }
}

fn text(status: StatusCode, text: &str) -> Response<Body> {
    let body = if text.is_empty() { empty() } else { full(text.to_owned()) };
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
}
