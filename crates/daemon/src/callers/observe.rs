//! What is counted, measured and logged about each request of a caller.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context as TaskContext, Poll},
    time::Instant,
};

use bulrushhall_core::{ClassName, TeamName};
use bulrushhall_external::http::{Body, BoxError};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Response, StatusCode,
    body::{Body as _, Frame, SizeHint},
    http::request::Parts,
};
use tracing::Span;

use crate::{
    callers::{
        classify::{Patience, find_class},
        identify::identify,
    },
    context::Context,
    meters::Metric,
    telemetry::with_remote_parent,
};

/// What stands for a team or class that a request does not have.
const NONE: &str = "none";

/// An `Observation` follows one request from its headers to the end of its answer.
pub struct Observation {
    cx: Arc<Context>,
    team: Option<TeamName>,
    class: Option<ClassName>,
    started: Instant,
    answered: Option<&'static str>,
}

struct Observed {
    inner: Body,
    observation: Observation,
    begun: bool,
    ended: bool,
}

impl Observation {
    /// Begins with a request whose headers have arrived.
    pub fn begin(cx: &Arc<Context>, parts: &Parts) -> Observation {
        let in_force = cx.in_force();
        let team = identify(&in_force.deployment, parts).ok();
        let patience = match parts.uri.path() {
            "/v1/chat/completions" => Some(Patience::Urgent),
            "/v1/requests" => Some(Patience::Patient),
            _ => None,
        };
        let class = patience.and_then(|patience| {
            find_class(&in_force.deployment, parts, patience).map(|(class, _)| class).ok()
        });
        cx.meters.shift(Metric::InFlight, 1.0);
        Observation { cx: Arc::clone(cx), team, class, started: Instant::now(), answered: None }
    }

    /// Returns the span of the request at this node, a child of the caller's own where it has one.
    pub fn span(&self, parts: &Parts) -> Span {
        let span = tracing::info_span!(
            "request",
            otel.kind = "server",
            node = %self.cx.settings.node.name,
            method = %parts.method,
            path = parts.uri.path(),
            team = self.team(),
            class = self.class(),
        );
        with_remote_parent(span, &parts.headers)
    }

    /// Goes on with the answer; it is over once the body has been sent or dropped.
    pub fn follow(mut self, answer: Response<Body>) -> Response<Body> {
        self.answered = Some(outcome_of(answer.status()));
        let watch = |inner| {
            let observed = Observed { inner, observation: self, begun: false, ended: false };
            observed.boxed_unsync()
        };
        answer.map(watch)
    }

    fn team(&self) -> &str {
        self.team.as_ref().map_or(NONE, TeamName::as_str)
    }

    fn class(&self) -> &str {
        self.class.as_ref().map_or(NONE, ClassName::as_str)
    }
}

// A caller that goes away drops the answer at any point; the request must not stay counted as
// being answered, so the end is noted where the observation is dropped.
impl Drop for Observation {
    fn drop(&mut self) {
        let meters = &self.cx.meters;
        let outcome = self.answered.unwrap_or("abandoned");
        let labels = [("team", self.team()), ("class", self.class())];
        meters.shift(Metric::InFlight, -1.0);
        meters.time(Metric::RequestSeconds, &labels, self.started.elapsed());
        let [team, class] = labels;
        meters.count(Metric::Requests, &[team, class, ("outcome", outcome)], 1);
    }
}

impl Drop for Observed {
    fn drop(&mut self) {
        if !self.ended && !self.inner.is_end_stream() {
            self.observation.answered = Some("abandoned");
        }
    }
}

impl hyper::body::Body for Observed {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.ended = true,
            Poll::Ready(Some(Ok(_))) if !self.begun => {
                self.begun = true;
                let observation = &self.observation;
                let labels = [("team", observation.team()), ("class", observation.class())];
                let time = observation.started.elapsed();
                observation.cx.meters.time(Metric::FirstByteSeconds, &labels, time);
            }
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

fn outcome_of(status: StatusCode) -> &'static str {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => "refused",
        status if status.is_client_error() => "malformed",
        status if status.is_server_error() => "failed",
        _ => "answered",
    }
}
