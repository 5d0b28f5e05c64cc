//! Answers follow the public chat completion API, so that common client libraries can read them.

use std::time::Duration;

use bulrushhall_bench::{Probe, Testbed, TestbedOptions, testbed::MODEL};
use bulrushhall_standin::engine::expected_answer;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

const CHAT: &str = "/v1/chat/completions";
const PROMPT: &str = "user: which slip fits a border tile\n";

async fn start_testbed() -> Testbed {
    Testbed::start(TestbedOptions::default()).await.expect("a testbed")
}

fn body(extra: Value) -> String {
    let mut body = json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": "which slip fits a border tile" }],
        "max_tokens": 24,
    });
    for (key, value) in extra.as_object().into_iter().flatten() {
        body[key] = value.clone();
    }
    body.to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn complete_answer() {
    let testbed = start_testbed().await;
    let probe = Probe::new(testbed.nodes[0].callers());
    let reply = probe.send(Method::POST, CHAT, body(json!({}))).await.expect("an answer");

    let value = reply.json();
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.headers["content-type"], "application/json");
    assert_eq!(value["object"], "chat.completion");
    assert_eq!(value["model"], MODEL);
    assert!(value["id"].is_string());
    assert!(value["created"].is_u64());
    let choice = &value["choices"][0];
    assert_eq!(choice["index"], 0);
    assert_eq!(choice["message"]["role"], "assistant");
    assert_eq!(choice["message"]["content"], expected_answer(PROMPT, 24));
    assert!(["stop", "length"].contains(&choice["finish_reason"].as_str().expect("a reason")));
    let usage = &value["usage"];
    let total = usage["prompt_tokens"].as_u64().zip(usage["completion_tokens"].as_u64());
    assert_eq!(usage["total_tokens"].as_u64(), total.map(|(prompt, answer)| prompt + answer));
}

#[tokio::test(flavor = "multi_thread")]
async fn streamed_answer() {
    let testbed = start_testbed().await;
    let probe = Probe::new(testbed.nodes[0].callers());
    let extra = json!({ "stream": true, "stream_options": { "include_usage": true } });
    let reply = probe.send(Method::POST, CHAT, body(extra)).await.expect("an answer");

    assert_eq!(reply.headers["content-type"], "text/event-stream");
    let events = reply.events();
    assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
    let chunks: Vec<Value> = events[..events.len() - 1]
        .iter()
        .map(|event| serde_json::from_str(event).expect("JSON"))
        .collect();
    assert!(chunks.iter().all(|chunk| chunk["object"] == "chat.completion.chunk"));
    assert!(chunks.iter().all(|chunk| chunk["id"] == chunks[0]["id"]));
    assert_eq!(chunks[0]["choices"][0]["delta"]["role"], "assistant");

    let mut text = String::new();
    for chunk in &chunks {
        text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
    }
    assert_eq!(text, expected_answer(PROMPT, 24));
    let finished = chunks.iter().filter(|chunk| chunk["choices"][0]["finish_reason"].is_string());
    assert_eq!(finished.count(), 1);
    let last = chunks.last().expect("a chunk");
    assert_eq!(last["choices"], json!([]));
    assert!(last["usage"]["completion_tokens"].is_u64());
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_fields_are_ignored() {
    let testbed = start_testbed().await;
    let probe = Probe::new(testbed.nodes[0].callers());
    let extra = json!({
        "temperature": 0.2,
        "top_p": 1,
        "seed": 7,
        "tools": null,
        "some_future_field": { "a": [1, 2] },
        "messages": [{
            "role": "user",
            "name": "ana",
            "content": [{ "type": "text", "text": "which slip fits a border tile" }],
        }],
    });
    let reply = probe.send(Method::POST, CHAT, body(extra)).await.expect("an answer");
    let content = &reply.json()["choices"][0]["message"]["content"];
    assert_eq!(*content, expected_answer(PROMPT, 24));
}

#[tokio::test(flavor = "multi_thread")]
async fn listed_models() {
    let testbed = start_testbed().await;
    let probe = Probe::new(testbed.nodes[0].callers());
    let list = probe.send(Method::GET, "/v1/models", "").await.expect("an answer").json();
    assert_eq!(list["object"], "list");
    assert_eq!(list["data"][0]["id"], MODEL);
    assert_eq!(list["data"][0]["object"], "model");
    let path = format!("/v1/models/{MODEL}");
    let shown = probe.send(Method::GET, &path, "").await.expect("an answer").json();
    assert_eq!(shown, list["data"][0]);
}

// One caller stops reading in the middle of its stream. The streams of other callers must continue;
// if one loop sent all streams and waited for each caller, this caller would block all of them.
#[tokio::test(flavor = "multi_thread")]
async fn slow_reader_does_not_block_others() {
    let testbed = start_testbed().await;
    let address = testbed.nodes[0].callers();
    let long = body(json!({ "stream": true, "max_tokens": 4000 }));
    let unread = Probe::new(address).open(Method::POST, CHAT, long).await.expect("a stream");

    let other = Probe::new(address);
    let reading = other.send(Method::POST, CHAT, body(json!({ "stream": true })));
    let reply = tokio::time::timeout(Duration::from_secs(20), reading).await;
    let events = reply.expect("the other stream continues").expect("an answer").events();
    assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
    drop(unread);
}
