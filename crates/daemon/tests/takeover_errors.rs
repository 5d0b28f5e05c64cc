//! A node that has taken a request over does not report it as not run, since it cannot know that.

use std::time::Duration;

use bulrushhall_bench::{Probe, Testbed, TestbedOptions, testbed::MODEL};
use bulrushhall_daemon::config_chain;
use bulrushhall_external::{
    clients::HttpKeyValue,
    http::{Endpoint, EndpointOptions},
};
use bulrushhall_standin::switches::Faults;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// The maximum time to wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

async fn start_testbed() -> Testbed {
    let options = TestbedOptions { nodes: 2, engines: 1, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    let text = format!("{}\n[class brief]\npriority = 2\ndeadline = 8s\n", testbed.config);
    let endpoint = Endpoint::new(testbed.kv.address(), EndpointOptions::default());
    config_chain::apply(&HttpKeyValue::new(endpoint), None, &text).await.expect("an acceptance");
    wait_until(|| testbed.nodes.iter().all(|node| node.context().in_force().revision.0 == 2)).await;
    wait_until(|| testbed.nodes.iter().all(|node| node.context().members.current().len() == 1))
        .await;
    testbed
}

async fn wait_until(condition: impl Fn() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "the condition was not met in time");
        sleep(Duration::from_millis(10)).await;
    }
}

// A node sends a request to an engine, which hangs, and dies. The node that takes the request over
// knows only that engine, whose VM is leaving, until the deadline passes. It has sent nothing
// itself, but the engine may have run the request for the first node; a caller that is told "not
// run" would send it again.
#[tokio::test(flavor = "multi_thread")]
async fn earlier_owner_may_have_run_it() {
    let testbed = start_testbed().await;
    testbed.engines[0].switches().set(Faults { slow_ms: 60_000, ..Faults::default() });
    let body = json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": "a survey" }],
        "max_tokens": 8,
    });
    let probe = Probe::new(testbed.nodes[0].callers()).with("x-request-class", "brief");
    let reply = probe.send(Method::POST, "/v1/requests", body.to_string()).await;
    let reply = reply.expect("an answer");
    assert_eq!(reply.status, StatusCode::ACCEPTED);
    let path = format!("/v1/requests/{}", reply.json()["id"].as_str().expect("an id"));
    let context = testbed.nodes[0].context();
    wait_until(|| context.answers.open().iter().any(|answer| answer.is_started())).await;
    // The other node receives the notice as well and sends nothing to the engine.
    let vm = testbed.engines[0].vm();
    testbed.cloud.reclaim(vm, WAIT_TIMEOUT);
    let notice_received = || testbed.nodes[1].context().backends.is_closed(vm);
    wait_until(notice_received).await;
    testbed.nodes[0].kill();

    let probe = Probe::new(testbed.nodes[1].callers());
    let until = Instant::now() + WAIT_TIMEOUT;
    let failed: Value = loop {
        let shown = probe.send(Method::GET, &path, "").await.expect("an answer").json();
        if shown["status"] == "failed" {
            break shown;
        }
        assert!(Instant::now() < until, "{shown}");
        sleep(Duration::from_millis(50)).await;
    };
    assert_eq!(failed["error"]["ran"], "unknown", "{failed}");
}
