//! Routing of requests on the callers' port to their filter chains.

use std::sync::Arc;

use bulrushhall_core::Event;
use bulrushhall_external::{
    BoxFuture,
    http::{Body, BodyLimits, BodyRoom, CloseReason, DiscardLimits, Handler, UnreadBody},
};
use bytes::Bytes;
use hyper::{Method, Request, Response, body::Incoming, http::request::Parts};
use tracing::Instrument;

use crate::{
    callers::{
        ApiCode, ApiError, chat, entries, identify::identify, models, observe::Observation,
        requests, services,
    },
    context::Context,
    meters::Metric,
};

/// A `CallerPort` handles the HTTP requests that arrive on the callers' port.
pub struct CallerPort {
    cx: Arc<Context>,
}

impl CallerPort {
    /// Returns the callers' port of a node.
    pub fn new(cx: Arc<Context>) -> CallerPort {
        CallerPort { cx }
    }

    async fn route(&self, parts: Parts, body: UnreadBody) -> Result<Response<Body>, ApiError> {
        let path = parts.uri.path().to_owned();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        let cx = &self.cx;
        match segments.as_slice() {
            ["v1", "entries"] => {
                require_method(&parts, &[Method::GET])?;
                entries::list(cx, &parts)
            }
            ["v1", "models"] => {
                require_method(&parts, &[Method::GET])?;
                models::list(cx, &parts)
            }
            ["v1", "models", model] => {
                require_method(&parts, &[Method::GET])?;
                models::show(cx, &parts, model)
            }
            ["v1", "chat", "completions"] => {
                require_method(&parts, &[Method::POST])?;
                let (body, _room) = self.read_body(&parts, body).await?;
                chat::complete(cx, &parts, body).await
            }
            ["v1", "requests"] => {
                require_method(&parts, &[Method::POST])?;
                let (body, _room) = self.read_body(&parts, body).await?;
                requests::submit(cx, &parts, body).await
            }
            ["v1", "requests", id] => {
                require_method(&parts, &[Method::GET, Method::DELETE])?;
                requests::show_or_cancel(cx, &parts, id).await
            }
            ["v1", "requests", id, "stream"] => {
                require_method(&parts, &[Method::GET])?;
                requests::stream(cx, &parts, id).await
            }
            ["v1", "services", service, ..] => {
                let (body, _room) = self.read_body(&parts, body).await?;
                services::call(cx, &parts, service, body).await
            }
            _ => Err(ApiError::not_run(ApiCode::NotFound, format!("nothing is at {path}"))),
        }
    }

    // A body is read only for a team of the deployment.
    async fn read_body(
        &self,
        parts: &Parts,
        body: UnreadBody,
    ) -> Result<(Bytes, BodyRoom), ApiError> {
        identify(&self.cx.in_force().deployment, parts)?;
        let DiscardLimits { bytes, time } = self.body_limits();
        let limits = BodyLimits { bytes, time, copies: 1 };
        Ok(body.read(&self.cx.bodies, limits).await?)
    }

    fn body_limits(&self) -> DiscardLimits {
        let limits = &self.cx.settings.limits;
        let bytes = usize::try_from(limits.body.as_u64()).unwrap_or(usize::MAX);
        DiscardLimits { bytes, time: limits.body_timeout.into() }
    }
}

impl Handler for CallerPort {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let cx = Arc::clone(&self.cx);
            let (parts, body) = UnreadBody::take(req, self.body_limits(), move || cx.is_leaving());
            let observation = Observation::begin(&self.cx, &parts);
            let span = observation.span(&parts);
            let response = match self.route(parts, body).instrument(span).await {
                Ok(response) => response,
                Err(error) => {
                    let code = error.code;
                    tracing::info!(event = Event::RequestRefused.number(), ?code);
                    error.into_response()
                }
            };
            observation.attach(response)
        })
    }

    fn note_closed(&self, reason: CloseReason) {
        self.cx.meters.count(
            Metric::ConnectionsClosed,
            &[("port", "callers"), ("reason", reason.as_str())],
            1,
        );
    }
}

fn require_method(parts: &Parts, methods: &[Method]) -> Result<(), ApiError> {
    if methods.contains(&parts.method) {
        return Ok(());
    }
    let names: Vec<&str> = methods.iter().map(Method::as_str).collect();
    let message = format!("{} takes {}", parts.uri.path(), names.join(" and "));
    Err(ApiError::not_run(ApiCode::MethodNotAllowed, message))
}
