//! `POST /v1/chat/completions`.

use std::sync::Arc;

use bulrushhall_external::http::Body;
use bytes::Bytes;
use hyper::{Response, http::request::Parts};

use crate::{
    callers::{
        ApiError, admit,
        classify::{DefaultClass, Delivery, classify},
        events,
        identify::identify,
    },
    context::Context,
};

/// Answers a chat request, as one body or as a stream.
pub async fn complete(
    cx: &Arc<Context>,
    parts: &Parts,
    body: Bytes,
) -> Result<Response<Body>, ApiError> {
    let in_force = cx.in_force();
    let team = identify(&in_force.deployment, parts)?;
    let request = classify(&in_force.deployment, parts, &body, DefaultClass::MostUrgent)?;
    let delivery = request.delivery;
    let answer = admit::admit(cx, team, request).await?;
    answer.set_needs_reader();
    match delivery {
        Delivery::Whole => events::complete_response(&answer).await,
        Delivery::Streamed | Delivery::StreamedWithUsage => {
            Ok(events::stream_from(&answer, 0, delivery))
        }
    }
}
