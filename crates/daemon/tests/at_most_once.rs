//! Orders run at most once, and what callers are told of them agrees with what was executed.

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

const PATIENCE: Duration = Duration::from_secs(20);

async fn nodes(count: usize) -> Testbed {
    let options = TestbedOptions { nodes: count, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    let until = Instant::now() + PATIENCE;
    for node in &testbed.nodes {
        while node.context().members.current().len() + 1 < count {
            assert!(Instant::now() < until, "the nodes did not find each other");
            sleep(Duration::from_millis(10)).await;
        }
    }
    testbed
}

async fn order(caller: &Caller, key: &str, ticket: Option<&str>) -> Result<Value, CallerError> {
    order_of(caller, key, ticket, "cobalt").await
}

async fn order_of(
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

fn runs(testbed: &Testbed, key: &str) -> u32 {
    testbed.ledger.counts().runs.get(key).copied().unwrap_or(0)
}

fn refused(answer: Result<Value, CallerError>) -> (String, Ran) {
    match answer {
        Err(CallerError::Refused { code, ran, .. }) => (code, ran),
        other => panic!("not refused: {other:?}"),
    }
}

fn ticket(testbed: &Testbed, at: usize) -> String {
    format!("t-{}", testbed.nodes[at].context().incarnation)
}

// A workshop's connection breaks after it has ordered, and it sends the order again to another
// address. A second run would fire a second kiln.
#[tokio::test(flavor = "multi_thread")]
async fn retry_elsewhere() {
    let testbed = nodes(3).await;
    let first = order(&testbed.caller(0), "k-1", None).await.expect("an answer");
    for at in 0..3 {
        let again = order(&testbed.caller(at), "k-1", None).await.expect("the stored answer");
        assert_eq!(again, first);
    }
    let ticket = ticket(&testbed, 1);
    let first = order(&testbed.caller(1), "k-2", Some(&ticket)).await.expect("an answer");
    for at in 0..3 {
        let again = order(&testbed.caller(at), "k-2", Some(&ticket)).await.expect("stored");
        assert_eq!(again, first);
    }
    assert_eq!((runs(&testbed, "k-1"), runs(&testbed, "k-2")), (1, 1));
}

// A program sends the same key at once to all addresses, as an impatient retry does.
#[tokio::test(flavor = "multi_thread")]
async fn same_time() {
    let testbed = Arc::new(nodes(4).await);
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

// The key-value service takes writes and loses the replies; some take effect much later. A node
// that took silence for failure would claim a key that another node has too.
#[tokio::test(flavor = "multi_thread")]
async fn lost_claim_replies() {
    let testbed = Arc::new(nodes(4).await);
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
            Ok(_) => assert_eq!(runs(&testbed, &key), 1, "{key}"),
            Err(CallerError::Refused { ran: Ran::No, .. }) => panic!("{key}: nobody can know that"),
            Err(_) => {}
        }
    }
    assert_eq!(testbed.ledger.duplicated_keys(), 0);
}

// The key-value service is down. Orders with a ticket still run; an order with a key of the
// caller's own is refused with a time to come back, and nothing of it is run.
#[tokio::test(flavor = "multi_thread")]
async fn outage() {
    let testbed = nodes(2).await;
    testbed.kv.switches().set(Faults { outage: true, ..Faults::default() });
    let ticket = ticket(&testbed, 0);
    order(&testbed.caller(0), "k-1", Some(&ticket)).await.expect("an answer");
    order(&testbed.caller(1), "k-1", Some(&ticket)).await.expect("the stored answer");
    let (code, ran) = refused(order(&testbed.caller(0), "k-2", None).await);
    assert_eq!((code.as_str(), ran), ("unavailable", Ran::Unknown));
    assert_eq!((runs(&testbed, "k-1"), runs(&testbed, "k-2")), (1, 0));
}

// The node that ran the order has died with all that it knew. Whoever asks again is told that
// the outcome is unknown; running it again would be a second order.
#[tokio::test(flavor = "multi_thread")]
async fn home_dies() {
    let testbed = nodes(3).await;
    let ticket = ticket(&testbed, 0);
    order(&testbed.caller(0), "k-1", None).await.expect("an answer");
    order(&testbed.caller(0), "k-2", Some(&ticket)).await.expect("an answer");
    testbed.nodes[0].kill();
    for (key, ticket) in [("k-1", None), ("k-2", Some(ticket.as_str()))] {
        let (code, ran) = refused(order(&testbed.caller(1), key, ticket).await);
        assert_eq!((code.as_str(), ran), ("stale_ticket", Ran::Unknown));
        assert_eq!(runs(&testbed, key), 1);
    }
}

// A program uses one key for two different orders. The second must neither run nor be answered
// with the first one's answer.
#[tokio::test(flavor = "multi_thread")]
async fn other_body() {
    let testbed = nodes(2).await;
    order_of(&testbed.caller(0), "k-1", None, "cobalt").await.expect("an answer");
    for at in 0..2 {
        let (code, ran) = refused(order_of(&testbed.caller(at), "k-1", None, "ochre").await);
        assert_eq!((code.as_str(), ran), ("key_reused", Ran::No));
    }
    assert_eq!(runs(&testbed, "k-1"), 1);
}

// A node is being stopped while a workshop still uses its address. The order runs, once, at a node
// that stays.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_passes_on() {
    let testbed = nodes(3).await;
    testbed.nodes[0].context().leave();
    sleep(Duration::from_millis(400)).await;
    let first = order(&testbed.caller(0), "k-1", None).await.expect("an answer");
    let again = order(&testbed.caller(2), "k-1", None).await.expect("the stored answer");
    assert_eq!(first, again);
    assert_eq!(runs(&testbed, "k-1"), 1);
    let old = ticket(&testbed, 0);
    let (code, ran) = refused(order(&testbed.caller(0), "k-2", Some(&old)).await);
    assert_eq!((code.as_str(), ran, runs(&testbed, "k-2")), ("leaving", Ran::No, 0));
}

// No backend server can be reached: nothing was written to any, so the caller is told that the
// order was not run, and may send it again under the same key once one is back.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_written() {
    let testbed = nodes(1).await;
    testbed.services[0].kill();
    let (code, ran) = refused(order(&testbed.caller(0), "k-1", None).await);
    assert_eq!((code.as_str(), ran, runs(&testbed, "k-1")), ("unavailable", Ran::No, 0));
}

// The backend server executes the order and its answer is lost. To say "not run" would invite a
// second order, and a retry must not start one either.
#[tokio::test(flavor = "multi_thread")]
async fn answer_lost() {
    let testbed = nodes(2).await;
    let faults = Faults { lost_replies: 1.0, ..Faults::default() };
    testbed.services[0].switches().set(faults);
    for at in 0..2 {
        let (_, ran) = refused(order(&testbed.caller(at), "k-1", None).await);
        assert_eq!(ran, Ran::Unknown);
    }
    testbed.services[0].switches().set(Faults::default());
    let (_, ran) = refused(order(&testbed.caller(1), "k-1", None).await);
    assert_eq!((ran, runs(&testbed, "k-1")), (Ran::Unknown, 1));
}

// The workshop's program hangs up while its order runs. The outcome must be noted all the same, so
// that its next try gets the answer.
#[tokio::test(flavor = "multi_thread")]
async fn caller_hangs_up() {
    let testbed = nodes(1).await;
    let faults = Faults { slow_ms: 300, ..Faults::default() };
    testbed.services[0].switches().set(faults);
    let caller = testbed.caller(0);
    let gone = tokio::time::timeout(Duration::from_millis(100), order(&caller, "k-1", None)).await;
    assert!(gone.is_err());
    drop(caller);
    order(&testbed.caller(0), "k-1", None).await.expect("the answer of the only run");
    assert_eq!(runs(&testbed, "k-1"), 1);
}
