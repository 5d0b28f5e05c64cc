//! Accepted requests survive the loss of the node that accepted them, and can be read from any
//! node.

use std::time::{Duration, Instant};

use bulrushhall_bench::{Caller, CallerError, Testbed, TestbedOptions, testbed::MODEL};
use bulrushhall_standin::engine::expected_answer;
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::sleep;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

async fn start_five_nodes() -> Testbed {
    let options = TestbedOptions { nodes: 5, engines: 4, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    let until = Instant::now() + WAIT_TIMEOUT;
    for node in &testbed.nodes {
        while node.context().members.current().len() < 4 {
            assert!(Instant::now() < until, "the nodes did not discover each other");
            sleep(Duration::from_millis(10)).await;
        }
    }
    testbed
}

fn chat_body(prompt: &str, tokens: u32) -> Value {
    json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
    })
}

async fn submit(caller: &Caller, prompt: &str, tokens: u32) -> String {
    let body = chat_body(prompt, tokens);
    let answer = caller.json(Method::POST, "/v1/requests", &[], &body).await.expect("an id");
    answer["id"].as_str().expect("an id").to_owned()
}

async fn wait_for(caller: &Caller, id: &str, condition: impl Fn(&Value) -> bool) -> Value {
    let until = Instant::now() + WAIT_TIMEOUT;
    let mut last = None;
    while Instant::now() < until {
        let response =
            caller.json(Method::GET, &format!("/v1/requests/{id}"), &[], &Value::Null).await;
        match response {
            Ok(response) if condition(&response) => return response,
            other => last = Some(other),
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("the state was not reached in time: {last:?}");
}

fn answer_text(response: &Value) -> &str {
    response["completion"]["choices"][0]["message"]["content"].as_str().expect("a text")
}

// A caller submits a request at one node and reads its answer at another, since callers cache
// addresses and use whichever responds.
#[tokio::test(flavor = "multi_thread")]
async fn any_node_returns_answer() {
    let testbed = start_five_nodes().await;
    let id = submit(&testbed.caller(0), "a survey", 24).await;
    for at in 1..5 {
        let response = wait_for(&testbed.caller(at), &id, |it| it["status"] == "finished").await;
        assert_eq!(answer_text(&response), expected_answer("user: a survey\n", 24));
    }
}

// Another team guesses or obtains the id of a request. It must get the same error as for an id that
// does not exist, from the owner and from every other node.
#[tokio::test(flavor = "multi_thread")]
async fn other_team_gets_not_found() {
    let testbed = start_five_nodes().await;
    let id = submit(&testbed.caller(0), "a survey", 24).await;
    for node in &testbed.nodes {
        let other = Caller::new(node.callers(), "archive");
        let path = format!("/v1/requests/{id}");
        let response = other.json(Method::GET, &path, &[], &Value::Null).await;
        let Err(CallerError::Refused { code, .. }) = response else {
            panic!("response: {response:?}")
        };
        assert_eq!(code, "request_not_found");
    }
}

// The node that accepted a request dies without notice while the answer is being generated. Another
// node must return the complete answer.
#[tokio::test(flavor = "multi_thread")]
async fn answer_survives_owner_death() {
    let testbed = start_five_nodes().await;
    let id = submit(&testbed.caller(0), "a long survey", 200).await;
    wait_for(&testbed.caller(0), &id, |it| 20 < it["tokens"].as_u64().unwrap_or(0)).await;
    testbed.nodes[0].kill();
    let response = wait_for(&testbed.caller(1), &id, |it| it["status"] == "finished").await;
    assert_eq!(answer_text(&response), expected_answer("user: a long survey\n", 200));
}

// A request is cancelled at a node that does not own it. If the cancellation did not reach the
// owner, engines would keep generating an answer that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn cancel_at_other_node() {
    let testbed = start_five_nodes().await;
    let id = submit(&testbed.caller(0), "unwanted", 4_000).await;
    wait_for(&testbed.caller(0), &id, |it| it["status"] == "running").await;
    let path = format!("/v1/requests/{id}");
    let cancelled = testbed.caller(3).json(Method::DELETE, &path, &[], &Value::Null).await;
    assert_eq!(cancelled.expect("an answer")["status"], "failed");
    let response = wait_for(&testbed.caller(0), &id, |it| it["status"] == "failed").await;
    assert_eq!(response["error"]["code"], "cancelled");
    let computed = || testbed.engines.iter().map(|it| it.counts().computed_tokens).sum::<u64>();
    sleep(Duration::from_millis(200)).await;
    let before = computed();
    sleep(Duration::from_millis(200)).await;
    assert_eq!(computed(), before, "an engine is still generating");
}

// A node is stopped while it has queued and running requests. Another node must return their
// complete answers.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_hands_over() {
    let mut options = TestbedOptions { nodes: 5, engines: 4, ..TestbedOptions::default() };
    options.settings.limits.drain = Duration::from_secs(2).into();
    options.settings.limits.answers_per_engine = 1;
    let testbed = Testbed::start(options).await.expect("a testbed");
    sleep(Duration::from_millis(800)).await;
    let mut ids = Vec::new();
    for number in 0..8 {
        ids.push(submit(&testbed.caller(0), &format!("survey {number}"), 300).await);
    }
    testbed.nodes[0].stop().await;
    for (number, id) in ids.iter().enumerate() {
        let response = wait_for(&testbed.caller(1), id, |it| it["status"] == "finished").await;
        let expected = expected_answer(&format!("user: survey {number}\n"), 300);
        assert_eq!(answer_text(&response), expected, "{id}");
    }
}

// With a single node, a request is accepted without a copy; its state must show that.
#[tokio::test(flavor = "multi_thread")]
async fn single_node_reports_no_copy() {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("a testbed");
    let id = submit(&testbed.caller(0), "alone", 8).await;
    let response = wait_for(&testbed.caller(0), &id, |it| it["status"] == "finished").await;
    assert_eq!(response["copies"], 0);
}

// Nodes are stopped one after the other while callers read streams. No stream may be cut: each
// ends complete, or names the address of the node that continues it.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_stop_keeps_streams() {
    let testbed = start_five_nodes().await;
    let mut streams = tokio::task::JoinSet::new();
    for number in 0..8 {
        let caller = testbed.caller(number % 2);
        let prompt = format!("consult {number}");
        streams.spawn(async move { (number, caller.chat(MODEL, "urgent", &prompt, 120).await) });
    }
    sleep(Duration::from_millis(300)).await;
    testbed.nodes[0].stop().await;
    testbed.nodes[1].stop().await;
    for (number, answered) in streams.join_all().await {
        let answered = answered.expect("an accepted stream");
        assert!(answered.whole, "stream {number} was cut");
        assert_eq!(answered.text, expected_answer(&format!("user: consult {number}\n"), 120));
    }
}

// The VM of an engine is reclaimed with a few seconds' notice while a long answer runs on it; the
// engine stops at the end of the notice. The answer must be completed, with few recomputed tokens
// because its KV cache is moved.
#[tokio::test(flavor = "multi_thread")]
async fn reclaimed_engine_moves_cache() {
    let options = TestbedOptions { nodes: 2, engines: 4, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    sleep(Duration::from_millis(600)).await;
    let prompt = "tile ".repeat(1_500);
    let id = submit(&testbed.caller(0), &prompt, 500).await;
    wait_for(&testbed.caller(0), &id, |it| 20 < it["tokens"].as_u64().unwrap_or(0)).await;
    let at = testbed.engines.iter().position(|engine| 0 < engine.counts().generates);
    let vm = testbed.engines[at.expect("an engine that runs it")].vm().clone();
    testbed.cloud.reclaim(&vm, Duration::from_secs(5));
    let response = wait_for(&testbed.caller(1), &id, |it| it["status"] == "finished").await;
    assert_eq!(answer_text(&response), expected_answer(&format!("user: {prompt}\n"), 500));
    let counts: Vec<_> = testbed.engines.iter().map(|engine| engine.counts()).collect();
    let moved: u64 = counts.iter().map(|it| it.exported_bytes).sum();
    let recomputed: u64 = counts.iter().map(|it| it.recomputed_tokens).sum();
    assert!(0 < moved, "{counts:?}");
    assert!(recomputed < 150, "{recomputed} tokens recomputed");
}
