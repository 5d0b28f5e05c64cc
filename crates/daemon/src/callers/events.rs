//! Answers in the format of the public chat completion API, as one body and as server-sent events.

use std::sync::Arc;

use bulrushhall_core::{Ran, ids::StreamPosition};
use bulrushhall_external::{
    engine::Usage,
    http::{Body, streamed},
};
use bytes::{BufMut, Bytes, BytesMut};
use futures_util::stream;
use hyper::{
    Response,
    header::{CACHE_CONTROL, CONTENT_TYPE, HeaderName, HeaderValue},
};
use serde::Serialize;
use serde_json::json;

use crate::{
    answers::{Answer, AnswerEnd, Part, Reader},
    callers::{ApiCode, ApiError, classify::Delivery, respond},
};

/// The header that carries the id of an accepted request.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// The header that is set when no other node has a copy of an accepted request.
pub const COPIES_HEADER: HeaderName = HeaderName::from_static("x-copies");
/// After which time a caller whose answer is continued by another node may retry there.
const MOVED_RETRY: std::time::Duration = std::time::Duration::from_secs(1);

/// Returns the `created` time of answers, in seconds since the Unix epoch.
pub fn created() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |since| since.as_secs())
}

/// Returns the answer as one JSON body once it is complete.
pub async fn complete_response(answer: &Arc<Answer>) -> Result<Response<Body>, ApiError> {
    let mut reader = answer.read_from(0);
    let mut text = String::new();
    loop {
        for part in reader.next().await {
            match part {
                Part::Token(_, token) => text.push_str(&token),
                Part::End(AnswerEnd::Failed(error)) => return Err(error),
                Part::Diverged => return Err(diverged_error()),
                Part::End(AnswerEnd::Moved(address)) => return Err(moved_error(answer, address)),
                Part::End(AnswerEnd::Whole(usage)) => {
                    let mut res = respond::json(&completion(answer, &text, usage));
                    set_request_headers(&mut res, answer);
                    return Ok(res);
                }
            }
        }
    }
}

/// Returns the answer as a stream of server-sent events from token number `next` on.
pub fn stream_from(answer: &Arc<Answer>, next: usize, delivery: Delivery) -> Response<Body> {
    stream(answer.read_from(next), next, delivery)
}

/// Returns the parts that `reader` receives as server-sent events, from token number `next` on.
pub fn stream(reader: Reader, next: usize, delivery: Delivery) -> Response<Body> {
    let answer = &Arc::clone(reader.answer());
    let chunks = stream::unfold((reader, next == 0), move |(mut reader, first)| async move {
        let parts = reader.next().await;
        if parts.is_empty() {
            return None;
        }
        let mut buf = BytesMut::new();
        if first {
            let role = json!({ "role": "assistant", "content": "" });
            write_event(&mut buf, None, &chunk(reader.answer(), role, None, None));
        }
        for part in parts {
            write_part(&mut buf, &reader, part, delivery);
        }
        Some((buf.freeze(), (reader, false)))
    });

    let mut res = Response::new(streamed(chunks));
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    set_request_headers(&mut res, answer);
    res
}

/// Sets the headers that carry the id of a request and whether it is copied.
pub fn set_request_headers(res: &mut Response<Body>, answer: &Answer) {
    if let Ok(id) = HeaderValue::from_str(&answer.id().to_string()) {
        res.headers_mut().insert(REQUEST_HEADER, id);
    }
    if answer.is_uncopied() {
        res.headers_mut().insert(COPIES_HEADER, HeaderValue::from_static("none"));
    }
}

/// Returns the complete answer in the format of the public chat completion API.
pub fn completion(answer: &Answer, text: &str, usage: Usage) -> serde_json::Value {
    json!({
        "id": answer.id().to_string(),
        "object": "chat.completion",
        "created": created(),
        "model": answer.model(),
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": finish_reason_of(usage),
        }],
        "usage": usage_json(usage),
    })
}

fn write_part(buf: &mut BytesMut, reader: &Reader, part: Part, delivery: Delivery) {
    let answer = reader.answer();
    match part {
        Part::Token(at, token) => {
            let position = StreamPosition { request: answer.id(), number: at.number as u64 };
            let delta = json!({ "content": token });
            let id = format!("{position}:{:x}", at.check);
            write_event(buf, Some(&id), &chunk(answer, delta, None, None));
        }
        Part::Diverged => write_error(buf, &diverged_error()),
        Part::End(AnswerEnd::Moved(address)) => {
            let path = format!("/v1/requests/{}/stream", answer.id());
            let moved = json!({ "request": answer.id(), "address": address, "path": path });
            buf.put_slice(b"event: moved\ndata: ");
            buf.put_slice(moved.to_string().as_bytes());
            buf.put_slice(b"\n\n");
        }
        Part::End(AnswerEnd::Whole(usage)) => {
            let reason = Some(finish_reason_of(usage));
            write_event(buf, None, &chunk(answer, json!({}), reason, None));
            if delivery == Delivery::StreamedWithUsage {
                let mut last = chunk(answer, json!({}), None, Some(usage));
                last["choices"] = json!([]);
                write_event(buf, None, &last);
            }
            buf.put_slice(b"data: [DONE]\n\n");
        }
        Part::End(AnswerEnd::Failed(error)) => write_error(buf, &error),
    }
}

fn write_error(buf: &mut BytesMut, error: &ApiError) {
    buf.put_slice(b"event: error\ndata: ");
    buf.put_slice(&error.to_json());
    buf.put_slice(b"\n\n");
}

fn diverged_error() -> ApiError {
    let message = "the answer was written anew with other words; read it from its beginning";
    ApiError::not_run(ApiCode::StreamDiverged, message).ran(Ran::Yes)
}

fn moved_error(answer: &Answer, address: std::net::SocketAddr) -> ApiError {
    let message = format!("the answer {} goes on at {address}", answer.id());
    let error = ApiError::not_run(ApiCode::Leaving, message);
    error.ran(Ran::Unknown).retry_after(MOVED_RETRY)
}

fn write_event(buf: &mut BytesMut, id: Option<&str>, value: &impl Serialize) {
    if let Some(id) = id {
        buf.put_slice(format!("id: {id}\n").as_bytes());
    }
    buf.put_slice(b"data: ");
    let bytes = Bytes::from(serde_json::to_vec(value).unwrap_or_default());
    buf.put_slice(&bytes);
    buf.put_slice(b"\n\n");
}

fn chunk(
    answer: &Answer,
    delta: serde_json::Value,
    reason: Option<&str>,
    usage: Option<Usage>,
) -> serde_json::Value {
    let mut value = json!({
        "id": answer.id().to_string(),
        "object": "chat.completion.chunk",
        "created": created(),
        "model": answer.model(),
        "choices": [{ "index": 0, "delta": delta, "finish_reason": reason }],
    });
    if let Some(usage) = usage {
        value["usage"] = usage_json(usage);
    }
    value
}

fn finish_reason_of(usage: Usage) -> &'static str {
    if usage.truncated { "length" } else { "stop" }
}

fn usage_json(usage: Usage) -> serde_json::Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
    })
}
