//! Metrics and trace spans of callers' requests.

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
        classify::{DefaultClass, find_class},
        identify::identify,
    },
    context::Context,
    meters::Metric,
    telemetry::with_remote_parent,
};

/// The label value of a request without a known team or class.
const NO_LABEL: &str = "none";

/// An `Observation` records metrics of one request from its headers to the end of its response.
pub struct Observation {
    cx: Arc<Context>,
    team: Option<TeamName>,
    class: Option<ClassName>,
    started: Instant,
    outcome: Option<&'static str>,
}

struct ObservedBody {
    inner: Body,
    observation: Observation,
    first_byte_sent: bool,
    ended: bool,
}

impl Observation {
    /// Starts observing a request whose headers have arrived.
    pub fn begin(cx: &Arc<Context>, parts: &Parts) -> Observation {
        let in_force = cx.in_force();
        let team = identify(&in_force.deployment, parts).ok();
        let default_class = match parts.uri.path() {
            "/v1/chat/completions" => Some(DefaultClass::MostUrgent),
            "/v1/requests" => Some(DefaultClass::LeastUrgent),
            _ => None,
        };
        let class = default_class.and_then(|default_class| {
            find_class(&in_force.deployment, parts, default_class).map(|(class, _)| class).ok()
        });
        cx.meters.add(Metric::InFlight, 1.0);
        Observation { cx: Arc::clone(cx), team, class, started: Instant::now(), outcome: None }
    }

    /// Returns the span of the request at this node, a child of the caller's span if it sent one.
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

    /// Attaches the observation to the response; it ends when the body has been sent or dropped.
    pub fn attach(mut self, response: Response<Body>) -> Response<Body> {
        self.outcome = Some(outcome_of(response.status()));
        let observe_body = |inner| {
            let observed =
                ObservedBody { inner, observation: self, first_byte_sent: false, ended: false };
            observed.boxed_unsync()
        };
        response.map(observe_body)
    }

    fn team(&self) -> &str {
        self.team.as_ref().map_or(NO_LABEL, TeamName::as_str)
    }

    fn class(&self) -> &str {
        self.class.as_ref().map_or(NO_LABEL, ClassName::as_str)
    }
}

// A caller may disconnect at any point, which drops the response. The metrics are recorded on drop,
// so that the request does not remain counted as in flight.
impl Drop for Observation {
    fn drop(&mut self) {
        let meters = &self.cx.meters;
        let outcome = self.outcome.unwrap_or("abandoned");
        let labels = [("team", self.team()), ("class", self.class())];
        meters.add(Metric::InFlight, -1.0);
        meters.time(Metric::RequestSeconds, &labels, self.started.elapsed());
        let [team, class] = labels;
        meters.count(Metric::Requests, &[team, class, ("outcome", outcome)], 1);
    }
}

impl Drop for ObservedBody {
    fn drop(&mut self) {
        if !self.ended && !self.inner.is_end_stream() {
            self.observation.outcome = Some("abandoned");
        }
    }
}

impl hyper::body::Body for ObservedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.ended = true,
            Poll::Ready(Some(Ok(_))) if !self.first_byte_sent => {
                self.first_byte_sent = true;
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
