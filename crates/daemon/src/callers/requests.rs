//! `/v1/requests`: requests that are submitted now and whose answers are read later.

use std::{sync::Arc, time::Duration};

use bulrushhall_core::{Ran, RequestId, ids::StreamPosition};
use bulrushhall_external::http::Body;
use bytes::Bytes;
use hyper::{Method, Response, StatusCode, http::request::Parts};
use serde_json::json;

use crate::{
    answers::{Answer, AnswerEnd, TokenPosition},
    callers::{
        ApiCode, ApiError, admit,
        classify::{DefaultClass, Delivery, classify},
        events,
        identify::identify,
        respond,
    },
    context::Context,
    handoff,
};

/// The header in which a reader names the last event that it received.
const LAST_EVENT_ID_HEADER: &str = "last-event-id";
/// How long a caller that cancels a request waits for the request to end.
const CANCEL_WAIT: Duration = Duration::from_secs(2);

/// Accepts a request and returns its id at once.
pub async fn submit(
    cx: &Arc<Context>,
    parts: &Parts,
    body: Bytes,
) -> Result<Response<Body>, ApiError> {
    let in_force = cx.in_force();
    let team = identify(&in_force.deployment, parts)?;
    let request = classify(&in_force.deployment, parts, &body, DefaultClass::LeastUrgent)?;
    let answer = admit::admit(cx, team, request).await?;
    let mut res = respond::json(&describe(&answer));
    *res.status_mut() = StatusCode::ACCEPTED;
    events::set_request_headers(&mut res, &answer);
    Ok(res)
}

/// Returns the state of a request; cancels it first if the method is DELETE.
pub async fn show_or_cancel(
    cx: &Arc<Context>,
    parts: &Parts,
    id: &str,
) -> Result<Response<Body>, ApiError> {
    let answer = find(cx, parts, id).await?;
    if parts.method == Method::DELETE {
        cancel(cx, &answer).await?;
    }
    let mut res = respond::json(&describe(&answer));
    events::set_request_headers(&mut res, &answer);
    Ok(res)
}

/// Streams an answer from the event after the last one that the reader received.
pub async fn stream(
    cx: &Arc<Context>,
    parts: &Parts,
    id: &str,
) -> Result<Response<Body>, ApiError> {
    let answer = find(cx, parts, id).await?;
    let Some(last) = parts.headers.get(LAST_EVENT_ID_HEADER) else {
        return Ok(events::stream_from(&answer, 0, Delivery::StreamedWithUsage));
    };
    let malformed = || {
        let message = "Last-Event-ID is not an event of this request";
        ApiError::not_run(ApiCode::InvalidValue, message)
    };
    let last = last.to_str().map_err(|_| malformed())?;
    let (number, seen) = parse_event_id(answer.id(), last).ok_or_else(malformed)?;
    let reader = answer.read_from(number + 1).after(seen);
    Ok(events::stream(reader, number + 1, Delivery::StreamedWithUsage))
}

// Returns the token number of an event and, if its id carries a checksum, the token position.
fn parse_event_id(id: RequestId, text: &str) -> Option<(usize, Option<TokenPosition>)> {
    let (position, check) = match text.match_indices(':').nth(1) {
        Some((at, _)) => (&text[..at], Some(&text[at + 1..])),
        None => (text, None),
    };
    let position: StreamPosition = position.parse().ok()?;
    if position.request != id {
        return None;
    }
    let number = usize::try_from(position.number).ok().filter(|number| *number < usize::MAX)?;
    let Some(check) = check else { return Some((number, None)) };
    let check = u32::from_str_radix(check, 16).ok()?;
    Some((number, Some(TokenPosition { number, check })))
}

async fn cancel(cx: &Arc<Context>, answer: &Arc<Answer>) -> Result<(), ApiError> {
    if answer.ended().is_some() {
        return Ok(());
    }
    if !handoff::cancel(cx, answer).await && answer.ended().is_none() {
        let message = "the owner of the request could not be reached";
        return Err(ApiError::not_run(ApiCode::Unavailable, message).ran(Ran::Unknown));
    }
    // The end becomes visible once the copy holder has it too.
    let mut reader = answer.read_from(usize::MAX);
    let _ = tokio::time::timeout(CANCEL_WAIT, reader.next()).await;
    Ok(())
}

async fn find(cx: &Arc<Context>, parts: &Parts, id: &str) -> Result<Arc<Answer>, ApiError> {
    let in_force = cx.in_force();
    let team = identify(&in_force.deployment, parts)?;
    let unknown = || ApiError::not_run(ApiCode::RequestNotFound, "no request has this id");
    let id: RequestId = id.parse().map_err(|_| unknown())?;
    // The response for another team's request is the same as for one that does not exist.
    handoff::find(cx, &team, id).await.ok_or_else(unknown)
}

fn describe(answer: &Answer) -> serde_json::Value {
    let tokens = answer.tokens();
    let mut value = json!({
        "id": answer.id().to_string(),
        "object": "request",
        "model": answer.model(),
        "class": answer.class(),
        "tokens": tokens.len(),
        "copies": if answer.is_uncopied() { 0 } else { 1 },
    });
    match answer.ended() {
        None => value["status"] = json!(if tokens.is_empty() { "queued" } else { "running" }),
        Some(AnswerEnd::Moved(address)) => {
            value["status"] = json!("moved");
            value["address"] = json!(address);
        }
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
