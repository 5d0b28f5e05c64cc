//! Answers as the public chat convention has them, whole and as server-sent events.

use std::{fmt::Write, sync::Arc};

use bulrushhall_core::{ModelName, RequestId, ids::StreamPosition};
use bulrushhall_platform::{
    engine::Usage,
    http::{Body, streamed},
};
use bytes::{BufMut, BytesMut};
use futures_util::stream;
use hyper::{
    Response,
    header::{CACHE_CONTROL, CONTENT_TYPE, HeaderName, HeaderValue},
};
use serde::Serialize;
use serde_json::json;

use crate::{
    answers::{Answer, AnswerEnd, Part},
    callers::{ApiError, classify::Delivery, respond},
};

/// The header that carries the id of an accepted request.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// The bytes that one event takes, for sizing buffers.
const EVENT_BYTES: usize = 256;

/// The seconds since 1970 that answers carry.
pub fn created() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |since| since.as_secs())
}

/// Returns the answer as one JSON body once it is whole.
pub async fn whole(answer: &Arc<Answer>) -> Result<Response<Body>, ApiError> {
    let mut reader = answer.read_from(0);
    let mut text = String::new();
    loop {
        for part in reader.next().await {
            match part {
                Part::Token(_, token) => text.push_str(&token),
                Part::End(AnswerEnd::Failed(error)) => return Err(error),
                Part::End(AnswerEnd::Whole(usage)) => {
                    let mut res = respond::json(&completion(answer, &text, usage));
                    set_request(&mut res, answer);
                    return Ok(res);
                }
            }
        }
    }
}

/// Returns the answer as server-sent events from token number `next` on, as they come.
pub fn stream_from(answer: &Arc<Answer>, next: usize, delivery: Delivery) -> Response<Body> {
    let reader = answer.read_from(next);
    let heading = Heading::of(answer);
    let chunks = stream::unfold((reader, next == 0), move |(mut reader, first)| {
        let heading = heading.clone();
        async move {
            let parts = reader.next().await;
            if parts.is_empty() {
                return None;
            }
            let mut buf = BytesMut::with_capacity(EVENT_BYTES * (parts.len() + 1));
            if first {
                let role = Delta { role: Some("assistant"), content: Some("") };
                put_event(&mut buf, None, &heading.chunk(role, None));
            }
            for part in parts {
                put_part(&mut buf, &heading, part, delivery);
            }
            Some((buf.freeze(), (reader, false)))
        }
    });

    let mut res = Response::new(streamed(chunks));
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    set_request(&mut res, answer);
    res
}

/// Puts the id of a request into the headers of an answer.
pub fn set_request(res: &mut Response<Body>, answer: &Answer) {
    if let Ok(id) = HeaderValue::from_str(&answer.id().to_string()) {
        res.headers_mut().insert(REQUEST_HEADER, id);
    }
}

/// Returns the whole answer in the form of the public chat convention.
pub fn completion(answer: &Answer, text: &str, usage: Usage) -> serde_json::Value {
    json!({
        "id": answer.id().to_string(),
        "object": "chat.completion",
        "created": created(),
        "model": answer.model(),
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": finish_reason(usage),
        }],
        "usage": usage_figures(usage),
    })
}

/// What all events of one stream have in common.
#[derive(Clone)]
struct Heading {
    request: RequestId,
    id: Arc<str>,
    created: u64,
    model: ModelName,
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a ModelName,
    choices: &'a [Choice<'a>],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<serde_json::Value>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Default, Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

/// The pieces of a chunk with one choice, held together while it is written.
struct OneChoice<'a> {
    heading: &'a Heading,
    choice: [Choice<'a>; 1],
}

impl Heading {
    fn of(answer: &Answer) -> Heading {
        Heading {
            request: answer.id(),
            id: answer.id().to_string().into(),
            created: created(),
            model: answer.model().clone(),
        }
    }

    fn chunk<'a>(&'a self, delta: Delta<'a>, reason: Option<&'static str>) -> OneChoice<'a> {
        OneChoice { heading: self, choice: [Choice { index: 0, delta, finish_reason: reason }] }
    }

    fn write(&self, choices: &[Choice<'_>], usage: Option<serde_json::Value>, buf: &mut BytesMut) {
        let chunk = Chunk {
            id: &self.id,
            object: "chat.completion.chunk",
            created: self.created,
            model: &self.model,
            choices,
            usage,
        };
        // A chunk holds only text and numbers and the buffer grows, so this cannot fail.
        let _ = serde_json::to_writer(buf.writer(), &chunk);
    }
}

fn put_part(buf: &mut BytesMut, heading: &Heading, part: Part, delivery: Delivery) {
    match part {
        Part::Token(number, token) => {
            let position = StreamPosition { request: heading.request, number: number as u64 };
            let delta = Delta { content: Some(&token), ..Delta::default() };
            put_event(buf, Some(position), &heading.chunk(delta, None));
        }
        Part::End(AnswerEnd::Whole(usage)) => {
            let reason = Some(finish_reason(usage));
            put_event(buf, None, &heading.chunk(Delta::default(), reason));
            if delivery == Delivery::StreamedWithUsage {
                buf.put_slice(b"data: ");
                heading.write(&[], Some(usage_figures(usage)), buf);
                buf.put_slice(b"\n\n");
            }
            buf.put_slice(b"data: [DONE]\n\n");
        }
        Part::End(AnswerEnd::Failed(error)) => {
            buf.put_slice(b"event: error\ndata: ");
            buf.put_slice(&error.to_json());
            buf.put_slice(b"\n\n");
        }
    }
}

fn put_event(buf: &mut BytesMut, position: Option<StreamPosition>, event: &OneChoice<'_>) {
    if let Some(position) = position {
        let _ = writeln!(buf, "id: {position}");
    }
    buf.put_slice(b"data: ");
    event.heading.write(&event.choice, None, buf);
    buf.put_slice(b"\n\n");
}

fn finish_reason(usage: Usage) -> &'static str {
    if usage.truncated { "length" } else { "stop" }
}

fn usage_figures(usage: Usage) -> serde_json::Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
    })
}
