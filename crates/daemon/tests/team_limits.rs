//! A team over its limits is refused with a retry time; other teams are still served.

use std::time::Duration;

use bulrushhall_bench::{Caller, Testbed, TestbedOptions, testbed::MODEL};
use bulrushhall_core::Ran;
use bulrushhall_daemon::config_chain;
use bulrushhall_external::{
    clients::HttpKeyValue,
    http::{Endpoint, EndpointOptions},
};
use hyper::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

const TIMEOUT: Duration = Duration::from_secs(10);

async fn start_with_limit(line: &str) -> Testbed {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("a testbed");
    let text = testbed.config.replace("[team archive]\n", &format!("[team archive]\n{line}\n"));
    assert_ne!(text, testbed.config);
    let endpoint = Endpoint::new(testbed.kv.address(), EndpointOptions::default());
    let applied = config_chain::apply(&HttpKeyValue::new(endpoint), None, &text).await;
    let revision = applied.expect("an accepted configuration").revision;
    let in_force = async {
        while testbed.nodes[0].context().in_force().revision < revision {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, in_force).await.expect("the configuration in force");
    testbed
}

fn chat_body(tokens: u32) -> Value {
    let messages = json!([{ "role": "user", "content": "a survey" }]);
    json!({ "model": MODEL, "messages": messages, "max_tokens": tokens })
}

async fn submit(caller: &Caller, tokens: u32) -> Result<Value, bulrushhall_bench::CallerError> {
    caller.json(Method::POST, "/v1/requests", &[], &chat_body(tokens)).await
}

// One team sends requests in a loop. Without a limit of its own it would use up the capacity, and
// the answers of all other teams would be late.
#[rstest]
#[case::at_once("at_once = 1", 200)]
#[case::requests("requests = 6/min", 4)]
#[case::tokens("tokens = 60/min", 100)]
#[tokio::test(flavor = "multi_thread")]
async fn team_over_limit_is_refused(#[case] line: &str, #[case] tokens: u32) {
    let testbed = start_with_limit(line).await;
    let address = testbed.nodes[0].callers();
    let (archive, workshop) = (Caller::new(address, "archive"), Caller::new(address, "workshop"));
    assert!(submit(&archive, tokens).await.is_ok());

    let refused = submit(&archive, tokens).await.expect_err("a refusal");
    let bulrushhall_bench::CallerError::Refused { status, code, ran, retry_after } = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(code, "team_limit");
    assert_eq!(ran, Ran::No);
    assert!(retry_after.is_some_and(|seconds| 0 < seconds && seconds <= 60), "{retry_after:?}");
    assert!(submit(&workshop, tokens).await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn ended_request_frees_slot() {
    let testbed = start_with_limit("at_once = 1").await;
    let archive = Caller::new(testbed.nodes[0].callers(), "archive");
    for _ in 0..5 {
        let again = async {
            while submit(&archive, 4).await.is_err() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(TIMEOUT, again).await.expect("a free slot after the last request has ended");
    }
}
