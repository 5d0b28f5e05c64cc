//! Accepted requests outlive the node that accepted them, and any node answers for them.

use std::time::{Duration, Instant};

use bulrushhall_bench::{Caller, CallerError, Testbed, TestbedOptions, testbed::MODEL};
use bulrushhall_standin::engine::expected_answer;
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::sleep;

const PATIENCE: Duration = Duration::from_secs(20);

async fn five_nodes() -> Testbed {
    let options = TestbedOptions { nodes: 5, engines: 4, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    let until = Instant::now() + PATIENCE;
    for node in &testbed.nodes {
        while node.context().members.current().len() < 4 {
            assert!(Instant::now() < until, "the nodes did not find each other");
            sleep(Duration::from_millis(10)).await;
        }
    }
    testbed
}

fn body(prompt: &str, tokens: u32) -> Value {
    json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
    })
}

async fn submit(caller: &Caller, prompt: &str, tokens: u32) -> String {
    let body = body(prompt, tokens);
    let answer = caller.json(Method::POST, "/v1/requests", &[], &body).await.expect("an id");
    answer["id"].as_str().expect("an id").to_owned()
}

async fn wait_for(caller: &Caller, id: &str, done: impl Fn(&Value) -> bool) -> Value {
    let until = Instant::now() + PATIENCE;
    let mut last = None;
    while Instant::now() < until {
        let shown =
            caller.json(Method::GET, &format!("/v1/requests/{id}"), &[], &Value::Null).await;
        match shown {
            Ok(shown) if done(&shown) => return shown,
            other => last = Some(other),
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("not reached in time: {last:?}");
}

fn text(shown: &Value) -> &str {
    shown["completion"]["choices"][0]["message"]["content"].as_str().expect("a text")
}

// A craftsman submits a survey at one node and asks for it at another, since callers keep
// addresses for a while and use whichever answers.
#[tokio::test(flavor = "multi_thread")]
async fn any_node_answers() {
    let testbed = five_nodes().await;
    let id = submit(&testbed.caller(0), "a survey", 24).await;
    for at in 1..5 {
        let shown = wait_for(&testbed.caller(at), &id, |it| it["status"] == "finished").await;
        assert_eq!(text(&shown), expected_answer("user: a survey\n", 24));
    }
}

// Another team guesses or learns the id of a request. It must be told the same as for an id that
// does not exist, at the owner and at every other node.
#[tokio::test(flavor = "multi_thread")]
async fn others_see_nothing() {
    let testbed = five_nodes().await;
    let id = submit(&testbed.caller(0), "a survey", 24).await;
    for node in &testbed.nodes {
        let other = Caller::new(node.callers(), "archive");
        let path = format!("/v1/requests/{id}");
        let shown = other.json(Method::GET, &path, &[], &Value::Null).await;
        let Err(CallerError::Refused { code, .. }) = shown else { panic!("shown: {shown:?}") };
        assert_eq!(code, "request_not_found");
    }
}

// The VM of the node that accepted the request dies without any notice while the answer is being
// written. The craftsman sees the stream break, asks another node and gets the whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn owner_dies() {
    let testbed = five_nodes().await;
    let id = submit(&testbed.caller(0), "a long survey", 200).await;
    wait_for(&testbed.caller(0), &id, |it| 20 < it["tokens"].as_u64().unwrap_or(0)).await;
    testbed.nodes[0].kill();
    let shown = wait_for(&testbed.caller(1), &id, |it| it["status"] == "finished").await;
    assert_eq!(text(&shown), expected_answer("user: a long survey\n", 200));
}

// An editor cancels an appeal reread at a node that does not own it. Engines would go on writing
// an answer that nobody wants if the cancel stopped at that node.
#[tokio::test(flavor = "multi_thread")]
async fn cancel_elsewhere() {
    let testbed = five_nodes().await;
    let id = submit(&testbed.caller(0), "unwanted", 4_000).await;
    wait_for(&testbed.caller(0), &id, |it| it["status"] == "running").await;
    let path = format!("/v1/requests/{id}");
    let cancelled = testbed.caller(3).json(Method::DELETE, &path, &[], &Value::Null).await;
    assert_eq!(cancelled.expect("an answer")["status"], "failed");
    let shown = wait_for(&testbed.caller(0), &id, |it| it["status"] == "failed").await;
    assert_eq!(shown["error"]["code"], "cancelled");
    let computed = || testbed.engines.iter().map(|it| it.counts().computed_tokens).sum::<u64>();
    sleep(Duration::from_millis(200)).await;
    let before = computed();
    sleep(Duration::from_millis(200)).await;
    assert_eq!(computed(), before, "an engine still writes");
}

// The operator stops a node on which requests wait and run. Whoever asks for them afterwards at
// another node gets them whole.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop() {
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
        let shown = wait_for(&testbed.caller(1), id, |it| it["status"] == "finished").await;
        let expected = expected_answer(&format!("user: survey {number}\n"), 300);
        assert_eq!(text(&shown), expected, "{id}");
    }
}

// Only one node is there. The request is accepted, but nobody else has it, and the caller can see
// that in the answer to its submission.
#[tokio::test(flavor = "multi_thread")]
async fn alone_is_visible() {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("a testbed");
    let id = submit(&testbed.caller(0), "alone", 8).await;
    let shown = wait_for(&testbed.caller(0), &id, |it| it["status"] == "finished").await;
    assert_eq!(shown["copies"], 0);
}

// All nodes are restarted one after the other while callers read streams. None of them may be
// cut: a stream ends whole, or names the address where it goes on.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_stop() {
    let testbed = five_nodes().await;
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

// The VM of an engine is taken back with a few seconds' notice while a long survey runs on it. The
// engine dies at the end of the notice; the craftsman gets the whole text, and little is computed
// a second time because the KV cache went along.
#[tokio::test(flavor = "multi_thread")]
async fn engine_reclaimed() {
    let options = TestbedOptions { nodes: 2, engines: 4, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    sleep(Duration::from_millis(600)).await;
    let prompt = "tile ".repeat(1_500);
    let id = submit(&testbed.caller(0), &prompt, 500).await;
    wait_for(&testbed.caller(0), &id, |it| 20 < it["tokens"].as_u64().unwrap_or(0)).await;
    let at = testbed.engines.iter().position(|engine| 0 < engine.counts().generates);
    let vm = testbed.engines[at.expect("an engine that runs it")].vm().clone();
    testbed.cloud.reclaim(&vm, Duration::from_secs(5));
    let shown = wait_for(&testbed.caller(1), &id, |it| it["status"] == "finished").await;
    assert_eq!(text(&shown), expected_answer(&format!("user: {prompt}\n"), 500));
    let counts: Vec<_> = testbed.engines.iter().map(|engine| engine.counts()).collect();
    let moved: u64 = counts.iter().map(|it| it.exported_bytes).sum();
    let recomputed: u64 = counts.iter().map(|it| it.recomputed_tokens).sum();
    assert!(0 < moved, "{counts:?}");
    assert!(recomputed < 150, "{recomputed} tokens recomputed");
}
