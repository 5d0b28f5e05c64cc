//! Which backend servers of a plain service get calls.

use std::time::Duration;

use bulrushhall_bench::{Caller, CallerError, Testbed, TestbedOptions, testbed::LEDGER};
use bulrushhall_core::Ran;
use bulrushhall_standin::switches::Faults;
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const NOTICE: Duration = Duration::from_secs(60);

async fn start(services: usize) -> Testbed {
    let options = TestbedOptions { nodes: 2, services, ..TestbedOptions::default() };
    Testbed::start(options).await.expect("a testbed")
}

/// Sends a call that may run more than once, or one that may not.
async fn call(caller: &Caller, path: &str, number: u64) -> Result<Value, CallerError> {
    let uri = format!("/v1/services/{LEDGER}/{path}");
    let key = format!("k-{number}");
    let (method, headers) = match path {
        "orders" => (Method::POST, vec![("idempotency-key", key.as_str())]),
        _ => (Method::GET, Vec::new()),
    };
    caller.json(method, &uri, &headers, &json!({})).await
}

// Guards against calls to a VM that has a notice: they are lost when it stops, and an order may be placed again.
#[rstest]
#[case::idempotent("stock")]
#[case::at_most_once("orders")]
#[tokio::test(flavor = "multi_thread")]
async fn no_call_to_leaving(#[case] path: &str) {
    let testbed = start(3).await;
    let leaving = testbed.services[0].vm().clone();
    testbed.cloud.reclaim(&leaving, NOTICE);
    let until = Instant::now() + WAIT_TIMEOUT;
    while !testbed.nodes.iter().all(|node| node.context().leaving_vms.load().contains(&leaving)) {
        assert!(Instant::now() < until, "the nodes did not learn that the VM is leaving");
        sleep(Duration::from_millis(10)).await;
    }
    let before = testbed.services[0].calls();
    for number in 0..12 {
        let caller = testbed.caller((number % 2) as usize);
        call(&caller, path, number).await.expect("an answer");
    }
    assert_eq!(testbed.services[0].calls() - before, 0);
}

// Guards against calls to a server that is overloaded and has named a time in which it wants none.
#[rstest]
#[case::idempotent("stock")]
#[case::at_most_once("orders")]
#[tokio::test(flavor = "multi_thread")]
async fn no_call_to_resting(#[case] path: &str) {
    let testbed = start(2).await;
    let caller = testbed.caller(0);
    let resting = &testbed.services[0];
    resting.switches().set(Faults { outage: true, rest_s: 3, ..Faults::default() });
    // Which server is asked first depends on the zones; each node is turned away once at most.
    for number in 0..8 {
        let _ = call(&caller, path, number).await;
    }
    assert!(resting.calls() <= 1, "{} calls", resting.calls());
    resting.switches().set(Faults::default());
    testbed.services[1].switches().set(Faults { outage: true, ..Faults::default() });
    sleep(Duration::from_secs(3)).await;
    let before = resting.calls();
    for number in 8..16 {
        let _ = call(&caller, path, number).await;
    }
    assert!(before < resting.calls(), "the server is not used again");
}

// Guards against callers who are told nothing about when to return, and are turned away again, while all servers rest.
#[tokio::test(flavor = "multi_thread")]
async fn all_rest() {
    let testbed = start(1).await;
    let caller = testbed.caller(0);
    let faults = Faults { outage: true, rest_s: 30, ..Faults::default() };
    testbed.services[0].switches().set(faults);
    let _ = call(&caller, "stock", 0).await;
    match call(&caller, "stock", 1).await {
        Err(CallerError::Refused { status, ran, retry_after, .. }) => {
            assert_eq!((status.as_u16(), ran), (503, Ran::No));
            assert!(retry_after.is_some_and(|after| (20..=30).contains(&after)), "{retry_after:?}");
        }
        other => panic!("not refused: {other:?}"),
    }
    assert_eq!(testbed.services[0].calls(), 1);
}
