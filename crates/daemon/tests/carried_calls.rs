//! Calls of plain services that another node carries, since their own node can't reach the servers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushhall_bench::{Caller, CallerError, Testbed, TestbedOptions, testbed::LEDGER};
use bulrushhall_core::{Ran, ServiceName};
use bulrushhall_daemon::{
    backends::BackendClient,
    carried::{CarriedCall, Repeat},
};
use bulrushhall_external::{
    Call, CallError, CallFault, PlainService,
    service::{ServiceCall, ServiceResponse},
};
use bulrushhall_standin::switches::Faults;
use bytes::Bytes;
use hyper::Method;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::sleep;

const CALLS: u64 = 12;
const SERVICES: usize = 3;
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// How long connections that hang are waited for.
const HANG: Duration = Duration::from_millis(400);
/// How long most calls may take, although connections hang.
const MAX_HELD: Duration = Duration::from_millis(200);

/// A server that can't be reached.
struct Unreachable {
    after: Duration,
}

impl PlainService for Unreachable {
    fn call(&self, _call: ServiceCall) -> Call<'_, ServiceResponse> {
        Box::pin(async move {
            sleep(self.after).await;
            Err(CallError::not_done(CallFault::Connect))
        })
    }
}

/// Returns a testbed whose first `cut` nodes can't reach the plain services.
async fn start(cut: usize, after: Duration) -> Testbed {
    let options = TestbedOptions { nodes: 2, services: SERVICES, ..TestbedOptions::default() };
    let testbed = Testbed::start(options).await.expect("a testbed");
    let until = Instant::now() + WAIT_TIMEOUT;
    while testbed.nodes.iter().any(|node| node.context().members.current().is_empty()) {
        assert!(Instant::now() < until, "the nodes did not find each other");
        sleep(Duration::from_millis(10)).await;
    }
    let service = ServiceName::new(LEDGER).expect("a name");
    for node in &testbed.nodes[..cut] {
        let backends = &node.context().backends;
        for (key, _) in backends.of(&service) {
            let client = BackendClient::Plain(Arc::new(Unreachable { after }));
            backends.replace_client(key, client);
        }
    }
    testbed
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

fn runs(testbed: &Testbed) -> u64 {
    testbed.services.iter().map(|service| service.calls()).sum()
}

// Guards against calls that fail at a node without a way to the servers, though another node reaches them, and against
// calls that run twice on the way.
#[rstest]
#[case::idempotent("stock")]
#[case::at_most_once("orders")]
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_carried(#[case] path: &str) {
    let testbed = start(1, Duration::ZERO).await;
    let before = runs(&testbed);
    for number in 0..CALLS {
        call(&testbed.caller(0), path, number).await.expect("an answer");
    }
    assert_eq!(runs(&testbed) - before, CALLS);
}

// Guards against calls that each wait for connections which are known to hang.
#[tokio::test(flavor = "multi_thread")]
async fn hanging_connections_are_not_awaited() {
    let testbed = start(1, HANG).await;
    let mut slow = 0;
    for number in 0..CALLS {
        let began = Instant::now();
        call(&testbed.caller(0), "stock", number).await.expect("an answer");
        slow += u64::from(MAX_HELD < began.elapsed());
    }
    assert!(slow <= CALLS / 4, "{slow} slow calls");
}

// Guards against a call that travels from node to node, and against a caller who is not told that it has not run.
#[rstest]
#[case::idempotent("stock")]
#[case::at_most_once("orders")]
#[tokio::test(flavor = "multi_thread")]
async fn one_hop(#[case] path: &str) {
    let testbed = start(2, Duration::ZERO).await;
    let before = runs(&testbed);
    match call(&testbed.caller(0), path, 0).await {
        Err(CallerError::Refused { status, ran, .. }) => {
            assert_eq!((status.as_u16(), ran), (503, Ran::No));
        }
        other => panic!("not refused: {other:?}"),
    }
    assert_eq!(runs(&testbed), before);
}

// Guards against a node that fails on a malformed call, or sends what it did not understand.
#[rstest]
#[case::method("a method", "accept", "/stock")]
#[case::header_name("GET", "a name", "/stock")]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_calls(#[case] method: &str, #[case] header: &str, #[case] path: &str) {
    let testbed = start(0, Duration::ZERO).await;
    let call = CarriedCall {
        service: ServiceName::new(LEDGER).expect("a name"),
        repeat: Repeat::Allowed,
        method: method.to_owned(),
        path: path.to_owned(),
        headers: vec![(header.to_owned(), Bytes::from_static(b"a"))],
        body: Bytes::new(),
        fence: None,
    };
    let cx = testbed.nodes[0].context();
    let peers = testbed.nodes[1].context().settings.node.peers;
    let reply = cx.carriers.send(cx, peers, None, call).await.expect("a reply");
    assert_eq!((reply.ran, reply.response.is_some()), (Ran::No, false));
    assert_eq!(runs(&testbed), 0);
}

// Guards against calls that are carried to a server which has asked the carrying node for rest.
#[tokio::test(flavor = "multi_thread")]
async fn resting_servers_rest() {
    let testbed = start(1, Duration::ZERO).await;
    for service in &testbed.services {
        service.switches().set(Faults { outage: true, rest_s: 30, ..Faults::default() });
    }
    for number in 0..CALLS {
        let refused = call(&testbed.caller(0), "stock", number).await;
        assert!(refused.is_err());
    }
    assert!(runs(&testbed) <= SERVICES as u64, "{} calls", runs(&testbed));
}
