//! Engines that answer with bytes without end which are no answer, behind the own interface and its chat dialect.

use std::time::{Duration, Instant};

use bulrushhall_bench::{Probe, Testbed, TestbedOptions, testbed::MODEL};
use bulrushhall_standin::{engine::expected_answer, switches::Faults};
use hyper::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};

const PROMPT: &str = "user: which slip fits a border tile\n";
const TOKENS: u32 = 12;
/// The answers that are asked for.
const REQUESTS: usize = 6;
/// The time in which an engine without end has to be left for another one: much less than the time limit of a frame.
const MAX_TIME: Duration = Duration::from_secs(2);

fn body(stream: bool) -> Value {
    json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": "which slip fits a border tile" }],
        "max_tokens": TOKENS,
        "stream": stream,
    })
}

fn text(events: &[String]) -> String {
    let mut text = String::new();
    for event in events {
        let Ok(event) = serde_json::from_str::<Value>(event) else { continue };
        text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    text
}

// Guards against callers that get comment lines without end, or wait for an engine that sends them.
#[rstest]
#[case::whole(false)]
#[case::streamed(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chat_goes_elsewhere(#[case] stream: bool) {
    let options = TestbedOptions { engines: 2, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    testbed.engines[0].switches().set(Faults { endless: true, ..Faults::default() });
    let probe = Probe::new(testbed.nodes[0].callers());
    for _ in 0..REQUESTS {
        let began = Instant::now();
        let sent = probe.send(Method::POST, "/v1/chat/completions", body(stream).to_string());
        let reply = sent.await.expect("an answer");
        assert_eq!(reply.status, StatusCode::OK);
        let answer = if stream {
            text(&reply.events())
        } else {
            reply.json()["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
        };
        assert_eq!(answer, expected_answer(PROMPT, TOKENS));
        assert!(began.elapsed() < MAX_TIME, "{:?}", began.elapsed());
    }
}

// Guards against a request that stays unfinished at an engine without end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submitted_goes_elsewhere() {
    let options = TestbedOptions { engines: 2, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    testbed.engines[0].switches().set(Faults { endless: true, ..Faults::default() });
    let caller = testbed.caller(0);
    for _ in 0..REQUESTS {
        let answer = caller.json(Method::POST, "/v1/requests", &[], &body(false)).await;
        let id = answer.expect("an id")["id"].as_str().expect("an id").to_owned();
        let path = format!("/v1/requests/{id}");
        let began = Instant::now();
        loop {
            let state = caller.json(Method::GET, &path, &[], &Value::Null).await.expect("a state");
            let message = &state["completion"]["choices"][0]["message"]["content"];
            if message == &json!(expected_answer(PROMPT, TOKENS)) {
                break;
            }
            assert!(began.elapsed() < MAX_TIME, "{state}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
