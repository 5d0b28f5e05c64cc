//! A team over its limits is refused and told when to come back; other teams are served.

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

const WAIT: Duration = Duration::from_secs(10);

async fn with_limit(line: &str) -> Testbed {
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
    timeout(WAIT, in_force).await.expect("the configuration in force");
    testbed
}

fn work(tokens: u32) -> Value {
    let messages = json!([{ "role": "user", "content": "a survey" }]);
    json!({ "model": MODEL, "messages": messages, "max_tokens": tokens })
}

async fn submit(caller: &Caller, tokens: u32) -> Result<Value, bulrushhall_bench::CallerError> {
    caller.json(Method::POST, "/v1/requests", &[], &work(tokens)).await
}

// A program of the archive's team loops. Without its own limit it would take the places of all
// others, and its answers would come late for everyone.
#[rstest]
#[case::at_once("at_once = 1", 200)]
#[case::requests("requests = 6/min", 4)]
#[case::tokens("tokens = 60/min", 100)]
#[tokio::test(flavor = "multi_thread")]
async fn looping_team(#[case] line: &str, #[case] tokens: u32) {
    let testbed = with_limit(line).await;
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
async fn place_given_back() {
    let testbed = with_limit("at_once = 1").await;
    let archive = Caller::new(testbed.nodes[0].callers(), "archive");
    for _ in 0..5 {
        let again = async {
            while submit(&archive, 4).await.is_err() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(WAIT, again).await.expect("a place after the last request has ended");
    }
}
