//! Which backend servers of a plain service get calls.

use std::time::Duration;

use bulrushhall_bench::{Caller, CallerError, Testbed, TestbedOptions, testbed::LEDGER};
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
