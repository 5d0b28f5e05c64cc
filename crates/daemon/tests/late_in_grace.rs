//! Requests that reach a node late in its grace period.

mod crowd;
#[path = "../../../platform/tests/harness/mod.rs"]
mod harness;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use crowd::{DaemonProcess, wait_until};
use futures_util::future::join_all;
use harness::{
    Harness, LEDGER,
    backend::{Backend, Behavior},
    caller::post_if_open,
    document::backend_record,
    start_server,
};
use rstest::rstest;
use tokio::time::sleep;

/// How long an order takes.
const ORDER_MS: u64 = 1_900;
/// The pause between two orders.
const PAUSE: Duration = Duration::from_millis(50);
/// How long orders are sent: the node accepts them for the first second of its grace period of three.
const SENDING_TIME: Duration = Duration::from_millis(1_200);
/// A refusal has to arrive within this time.
const PROMPT: Duration = Duration::from_millis(500);
/// The orders that end in time, as they were sent in the first part of the grace period.
const MIN_SERVED: usize = 8;

// Guards against requests that are taken and passed on although the node ends before them, and are then cut without an answer.
#[rstest]
#[case::orders("/order/1")]
#[case::calls("/look/1")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn late_requests(#[case] path: &'static str) {
    let harness = Harness::without_node().await;
    let backend = Backend::new("b-1", Behavior::Complete);
    let server = start_server(Arc::<Backend>::clone(&backend));
    let record = backend_record(LEDGER, server.address, "ready");
    harness.store.put("servers/b-1", &record.to_string());
    let text = harness.settings_text("node-1");
    let line = text.lines().find_map(|line| line.strip_prefix("callers = "));
    let callers: SocketAddr = line.expect("a setting").parse().expect("an address");
    let mut daemon = DaemonProcess::start(&format!("grace{}", callers.port()), &text);
    let is_answered = async || {
        let response = post_if_open(callers, "first", path).await;
        response.is_some_and(|response| response.status == 200)
    };
    wait_until("a request is answered", is_answered).await;
    backend.set_behavior(Behavior::Delayed(ORDER_MS));
    // The node has seen how long they take.
    let before = (0..8).map(|number| format!("before-{number}"));
    join_all(before.map(async |id| post_if_open(callers, &id, path).await)).await;
    daemon.terminate();
    let mut asking = Vec::new();
    let began = Instant::now();
    while began.elapsed() < SENDING_TIME {
        let id = format!("late-{}", asking.len());
        asking.push(tokio::spawn(async move {
            let began = Instant::now();
            (post_if_open(callers, &id, path).await, id, began.elapsed())
        }));
        sleep(PAUSE).await;
    }
    let mut served = 0;
    for asked in asking {
        let (response, id, took) = asked.await.expect("a caller");
        let sends = backend.received_times(&id);
        match response.map(|response| (response.status, response.complete)) {
            Some((200, true)) => served += 1,
            Some((503, true)) => {
                assert_eq!(sends, 0, "{id} has run");
                assert!(took < PROMPT, "{id} was refused after {took:?}");
            }
            // The port may be closed already.
            None if sends == 0 => {}
            other => panic!("{id} was passed on {sends} times and ended with {other:?}"),
        }
    }
    assert!(MIN_SERVED <= served, "{served} served");
    wait_until("the process ends", async || !daemon.is_alive()).await;
}
