//! `/v1/requests`: patient work that is submitted now and read later.

use std::sync::Arc;

use bulrushhall_core::{Ran, RequestId, ids::StreamPosition};
use bulrushhall_platform::http::Body;
use bytes::Bytes;
use hyper::{Method, Response, StatusCode, http::request::Parts};
use serde_json::json;

use crate::{
    answers::{Answer, AnswerEnd},
    callers::{
        ApiCode, ApiError, admit,
        classify::{Delivery, Patience, classify},
        events,
        identify::identify,
        respond, settle,
    },
    context::Context,
};

/// The header in which a reader names the last event that it saw.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Accepts a request and returns its id at once.
pub async fn submit(
    cx: &Arc<Context>,
    parts: &Parts,
    body: Bytes,
) -> Result<Response<Body>, ApiError> {
    let in_force = cx.in_force();
    let team = identify(&in_force.deployment, parts)?;
    let request = classify(&in_force.deployment, parts, &body, Patience::Patient)?;
    let answer = admit::admit(cx, team, request).await?;
    let mut res = respond::json(&describe(&answer));
    *res.status_mut() = StatusCode::ACCEPTED;
    events::set_request(&mut res, &answer);
    Ok(res)
}

/// Shows how far a request is, or cancels it.
pub async fn show_or_cancel(
    cx: &Arc<Context>,
    parts: &Parts,
    id: &str,
) -> Result<Response<Body>, ApiError> {
    let answer = find(cx, parts, id)?;
    if parts.method == Method::DELETE {
        let error = ApiError::not_run(ApiCode::Cancelled, "the caller cancelled the request");
        settle::fail(cx, &answer, AnswerEnd::Failed(error.ran(Ran::Unknown)));
    }
    let mut res = respond::json(&describe(&answer));
    events::set_request(&mut res, &answer);
    Ok(res)
}

/// Streams an answer from the event after the last one that the reader saw.
pub async fn stream(
    cx: &Arc<Context>,
    parts: &Parts,
    id: &str,
) -> Result<Response<Body>, ApiError> {
    let answer = find(cx, parts, id)?;
    let next = match parts.headers.get(LAST_EVENT_HEADER) {
        None => 0,
        Some(last) => {
            let position: Option<StreamPosition> =
                last.to_str().ok().and_then(|last| last.parse().ok());
            match position {
                Some(position) if position.request == answer.id() => position.number + 1,
                _ => {
                    let message = "Last-Event-ID is not an event of this request";
                    return Err(ApiError::not_run(ApiCode::InvalidValue, message));
                }
            }
        }
    };
    let next = usize::try_from(next).unwrap_or(usize::MAX);
    Ok(events::stream_from(&answer, next, Delivery::StreamedWithUsage))
}

fn find(cx: &Context, parts: &Parts, id: &str) -> Result<Arc<Answer>, ApiError> {
    let in_force = cx.in_force();
    let team = identify(&in_force.deployment, parts)?;
    let unknown = || ApiError::not_run(ApiCode::RequestNotFound, "no request has this id");
    let id: RequestId = id.parse().map_err(|_| unknown())?;
    // Another team's request is answered like one that does not exist.
    cx.answers.get(id).filter(|answer| *answer.team() == team).ok_or_else(unknown)
}

fn describe(answer: &Answer) -> serde_json::Value {
    let tokens = answer.tokens();
    let mut value = json!({
        "id": answer.id().to_string(),
        "object": "request",
        "model": answer.model(),
        "class": answer.class(),
        "tokens": tokens.len(),
    });
    match answer.ended() {
        None => value["status"] = json!(if tokens.is_empty() { "queued" } else { "running" }),
        Some(AnswerEnd::Whole(usage)) => {
            value["status"] = json!("finished");
            value["completion"] = events::completion(answer, &tokens.concat(), usage);
        }
        Some(AnswerEnd::Failed(error)) => {
            value["status"] = json!("failed");
            let error = serde_json::from_slice::<serde_json::Value>(&error.to_json());
            value["error"] = error.map_or(json!(null), |error| error["error"].clone());
        }
    }
    value
}
