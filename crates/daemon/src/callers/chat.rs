//! `POST /v1/chat/completions`.

use std::sync::Arc;

use bulrushhall_external::http::Body;
use bytes::Bytes;
use hyper::{Response, http::request::Parts};

use crate::{
    callers::{
        ApiError, admit,
        classify::{Delivery, Patience, classify},
        events,
        identify::identify,
    },
    context::Context,
};

/// Answers a chat request, whole or as a stream.
pub async fn complete(
    cx: &Arc<Context>,
    parts: &Parts,
    body: Bytes,
) -> Result<Response<Body>, ApiError> {
    let in_force = cx.in_force();
    let team = identify(&in_force.deployment, parts)?;
    let request = classify(&in_force.deployment, parts, &body, Patience::Urgent)?;
    let delivery = request.delivery;
    let answer = admit::admit(cx, team, request).await?;
    answer.set_attended();
    match delivery {
        Delivery::Whole => events::whole(&answer).await,
        Delivery::Streamed | Delivery::StreamedWithUsage => {
            Ok(events::stream_from(&answer, 0, delivery))
        }
    }
}
