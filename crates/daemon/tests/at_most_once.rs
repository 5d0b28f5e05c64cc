//! Calls with an idempotency key run at most once, and callers receive the outcome of that run.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushhall_bench::{Caller, CallerError, Testbed, TestbedOptions, testbed::LEDGER};
use bulrushhall_core::Ran;
use bulrushhall_standin::switches::Faults;
use hyper::Method;
use serde_json::{Value, json};
use tokio::{task::JoinSet, time::sleep};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

async fn start_nodes(count: usize) -> Testbed {
    let options = TestbedOptions { nodes: count, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    let until = Instant::now() + WAIT_TIMEOUT;
    for node in &testbed.nodes {
        while node.context().members.current().len() + 1 < count {
            assert!(Instant::now() < until, "the nodes did not discover each other");
            sleep(Duration::from_millis(10)).await;
        }
    }
    testbed
}

async fn order(caller: &Caller, key: &str, ticket: Option<&str>) -> Result<Value, CallerError> {
    order_pigment(caller, key, ticket, "cobalt").await
}

async fn order_pigment(
    caller: &Caller,
    key: &str,
    ticket: Option<&str>,
    pigment: &str,
) -> Result<Value, CallerError> {
    let mut headers = vec![("idempotency-key", key)];
    headers.extend(ticket.map(|ticket| ("x-ticket", ticket)));
    let path = format!("/v1/services/{LEDGER}/orders");
    caller.json(Method::POST, &path, &headers, &json!({ "pigment": pigment })).await
}

fn run_count(testbed: &Testbed, key: &str) -> u32 {
    testbed.ledger.counts().runs.get(key).copied().unwrap_or(0)
}

fn refusal(answer: Result<Value, CallerError>) -> (String, Ran) {
    match answer {
        Err(CallerError::Refused { code, ran, .. }) => (code, ran),
        other => panic!("not refused: {other:?}"),
    }
}

fn ticket(testbed: &Testbed, at: usize) -> String {
    format!("t-{}", testbed.nodes[at].context().incarnation)
}

// A caller loses its connection after an order and retries at other nodes. Each retry must get the
// stored response; a second run would be a second order.
#[tokio::test(flavor = "multi_thread")]
async fn retry_at_other_node() {
    let testbed = start_nodes(3).await;
    let first = order(&testbed.caller(0), "k-1", None).await.expect("an answer");
    for at in 0..3 {
        let again = order(&testbed.caller(at), "k-1", None).await.expect("the stored response");
        assert_eq!(again, first);
    }
    let ticket = ticket(&testbed, 1);
    let first = order(&testbed.caller(1), "k-2", Some(&ticket)).await.expect("an answer");
    for at in 0..3 {
        let again = order(&testbed.caller(at), "k-2", Some(&ticket)).await.expect("stored");
        assert_eq!(again, first);
    }
    assert_eq!((run_count(&testbed, "k-1"), run_count(&testbed, "k-2")), (1, 1));
}

// A caller retries an order at all nodes concurrently. The order must run once, and all calls must
// succeed.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_retries() {
    let testbed = Arc::new(start_nodes(4).await);
    for number in 0..10 {
        let mut orders = JoinSet::new();
        for at in 0..4 {
            let (testbed, key) = (Arc::clone(&testbed), format!("k-{number}"));
            orders.spawn(async move { order(&testbed.caller(at), &key, None).await });
        }
        let answers = orders.join_all().await;
        assert!(answers.iter().all(Result::is_ok), "{answers:?}");
    }
    assert_eq!((testbed.ledger.duplicated_keys(), testbed.ledger.counts().runs.len()), (0, 10));
}

// The key-value service applies writes but loses the replies; some writes take effect much later. A
// node that treated a lost reply as a failed write would claim a key that another node has claimed.
#[tokio::test(flavor = "multi_thread")]
async fn lost_claim_replies() {
    let testbed = Arc::new(start_nodes(4).await);
    let faults = Faults { lost_replies: 0.4, late_ms: 300, ..Faults::default() };
    testbed.kv.switches().set(faults);
    let mut orders = JoinSet::new();
    for number in 0..40 {
        for at in [number % 4, (number + 1) % 4] {
            let (testbed, key) = (Arc::clone(&testbed), format!("k-{number}"));
            orders.spawn(async move {
                let answer = order(&testbed.caller(at), &key, None).await;
                (key, answer)
            });
        }
    }
    for (key, answer) in orders.join_all().await {
        match answer {
            Ok(_) => assert_eq!(run_count(&testbed, &key), 1, "{key}"),
            Err(CallerError::Refused { ran: Ran::No, .. }) => {
                panic!("{key}: reported as not run, which no node can know")
            }
            Err(_) => {}
        }
    }
    assert_eq!(testbed.ledger.duplicated_keys(), 0);
}

// The key-value service is down. Orders with a ticket must still run; an order without a ticket is
// refused with a retry time and must not run.
#[tokio::test(flavor = "multi_thread")]
async fn outage() {
    let testbed = start_nodes(2).await;
    testbed.kv.switches().set(Faults { outage: true, ..Faults::default() });
    let ticket = ticket(&testbed, 0);
    order(&testbed.caller(0), "k-1", Some(&ticket)).await.expect("an answer");
    order(&testbed.caller(1), "k-1", Some(&ticket)).await.expect("the stored response");
    let (code, ran) = refusal(order(&testbed.caller(0), "k-2", None).await);
    assert_eq!((code.as_str(), ran), ("unavailable", Ran::Unknown));
    assert_eq!((run_count(&testbed, "k-1"), run_count(&testbed, "k-2")), (1, 0));
}

// The node that ran an order has died. A retry must be told that the outcome is unknown; running it
// again would be a second order.
#[tokio::test(flavor = "multi_thread")]
async fn home_node_dies() {
    let testbed = start_nodes(3).await;
    let ticket = ticket(&testbed, 0);
    order(&testbed.caller(0), "k-1", None).await.expect("an answer");
    order(&testbed.caller(0), "k-2", Some(&ticket)).await.expect("an answer");
    testbed.nodes[0].kill();
    for (key, ticket) in [("k-1", None), ("k-2", Some(ticket.as_str()))] {
        let (code, ran) = refusal(order(&testbed.caller(1), key, ticket).await);
        assert_eq!((code.as_str(), ran), ("stale_ticket", Ran::Unknown));
        assert_eq!(run_count(&testbed, key), 1);
    }
}

// A caller uses one key for two different orders. The second must neither run nor get the response
// to the first.
#[tokio::test(flavor = "multi_thread")]
async fn key_reused_for_other_body() {
    let testbed = start_nodes(2).await;
    order_pigment(&testbed.caller(0), "k-1", None, "cobalt").await.expect("an answer");
    for at in 0..2 {
        let (code, ran) = refusal(order_pigment(&testbed.caller(at), "k-1", None, "ochre").await);
        assert_eq!((code.as_str(), ran), ("key_reused", Ran::No));
    }
    assert_eq!(run_count(&testbed, "k-1"), 1);
}

// A node is leaving while a caller still uses its address. The order must run once, at a node that
// stays.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_node_forwards() {
    let testbed = start_nodes(3).await;
    testbed.nodes[0].context().leave();
    sleep(Duration::from_millis(400)).await;
    let first = order(&testbed.caller(0), "k-1", None).await.expect("an answer");
    let again = order(&testbed.caller(2), "k-1", None).await.expect("the stored response");
    assert_eq!(first, again);
    assert_eq!(run_count(&testbed, "k-1"), 1);
    let old = ticket(&testbed, 0);
    let (code, ran) = refusal(order(&testbed.caller(0), "k-2", Some(&old)).await);
    assert_eq!((code.as_str(), ran, run_count(&testbed, "k-2")), ("leaving", Ran::No, 0));
}

// No backend server can be reached, so nothing was sent to any. The caller must be told that the
// order was not run, so that it may retry under the same key.
#[tokio::test(flavor = "multi_thread")]
async fn no_backend_reachable() {
    let testbed = start_nodes(1).await;
    testbed.services[0].kill();
    let (code, ran) = refusal(order(&testbed.caller(0), "k-1", None).await);
    assert_eq!((code.as_str(), ran, run_count(&testbed, "k-1")), ("unavailable", Ran::No, 0));
}

// The backend server executes an order and its response is lost. The caller must not be told that
// the order was not run, and a retry must not run it again.
#[tokio::test(flavor = "multi_thread")]
async fn backend_response_lost() {
    let testbed = start_nodes(2).await;
    let faults = Faults { lost_replies: 1.0, ..Faults::default() };
    testbed.services[0].switches().set(faults);
    for at in 0..2 {
        let (_, ran) = refusal(order(&testbed.caller(at), "k-1", None).await);
        assert_eq!(ran, Ran::Unknown);
    }
    testbed.services[0].switches().set(Faults::default());
    let (_, ran) = refusal(order(&testbed.caller(1), "k-1", None).await);
    assert_eq!((ran, run_count(&testbed, "k-1")), (Ran::Unknown, 1));
}

// A caller disconnects while its order runs. The outcome must still be recorded, so that a retry
// gets the response.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnects() {
    let testbed = start_nodes(1).await;
    let faults = Faults { slow_ms: 300, ..Faults::default() };
    testbed.services[0].switches().set(faults);
    let caller = testbed.caller(0);
    let called =
        tokio::time::timeout(Duration::from_millis(100), order(&caller, "k-1", None)).await;
    assert!(called.is_err());
    drop(caller);
    order(&testbed.caller(0), "k-1", None).await.expect("the response of the only run");
    assert_eq!(run_count(&testbed, "k-1"), 1);
}
