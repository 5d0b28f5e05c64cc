//! The memory of a node whose servers send answers without end to many requests at once.

mod crowd;
#[path = "../../../platform/tests/harness/mod.rs"]
mod harness;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bulrushhall_standin::loopback::unused_address;
use crowd::{DaemonProcess, alone, wait_until};
use harness::{
    ENGINES, Harness, LEDGER,
    backend::{Backend, Behavior},
    caller::{get_status, post_if_open, try_post},
    document::{CONFIG_KEY, backend_record, default_config},
    start_server,
};
use rstest::rstest;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::sleep,
};

/// The memory of the VM, in bytes: what the settings say, and the bound of the process.
const MEMORY: usize = 64 << 20;
/// The requests that are answered without end at once.
const REQUESTS: usize = 150;
const SERVERS: usize = 4;
/// The time limit of the routes.
const ROUTE_TIMEOUT_MS: u64 = 8_000;
/// How long the requests go on before others are asked for.
const GATHERING_TIME: Duration = Duration::from_millis(1_500);
/// The requests to a sound service beside them.
const SOUND_REQUESTS: usize = 20;

/// What a server sends without end.
#[derive(Clone, Copy, Debug)]
enum Endless {
    /// The line of one event.
    Line,
    /// The lines of one event.
    Lines,
    /// An event that ends just before it is too large, again and again.
    LargeEvents,
    /// Heads before the head of the answer.
    InterimHeads,
    /// A head that goes on.
    Head,
}

impl Endless {
    fn begin(self, id: &str) -> String {
        let seal = "bulrushhall-response-seal: s";
        match self {
            Endless::InterimHeads => String::new(),
            Endless::Head => "HTTP/1.1 200 OK\r\n".to_owned(),
            _ => format!(
                "HTTP/1.1 200 OK\r\nbulrushhall-attempt-id: {id}\r\n{seal}\r\n\
                 transfer-encoding: chunked\r\n\r\n{}",
                chunk("id: 1\ndata: ")
            ),
        }
    }

    fn piece(self, number: usize) -> String {
        match self {
            Endless::Line => chunk(&"a".repeat(4_096)),
            Endless::Lines => chunk(&"data: a\n".repeat(512)),
            Endless::LargeEvents if number.is_multiple_of(250) => chunk("a\n\nid: 2\ndata: "),
            Endless::LargeEvents => chunk(&"a".repeat(4_000)),
            Endless::InterimHeads => "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n".repeat(100),
            Endless::Head => format!("x-{number}: {}\r\n", "a".repeat(4_000)),
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

async fn answer(mut stream: TcpStream, endless: Endless) {
    let mut head = Vec::new();
    let mut buf = [0; 4_096];
    while !head.ends_with(b"asked") {
        match stream.read(&mut buf).await {
            Ok(count) if 0 < count => head.extend_from_slice(&buf[..count]),
            _ => return,
        }
    }
    let head = String::from_utf8_lossy(&head);
    let id = head.lines().find_map(|line| line.strip_prefix("bulrushhall-attempt-id: "));
    let mut sending = endless.begin(id.unwrap_or_default());
    for number in 1.. {
        if stream.write_all(sending.as_bytes()).await.is_err() {
            return;
        }
        // All requests have incomplete events at the same time.
        sleep(Duration::from_millis(2)).await;
        sending = endless.piece(number);
    }
}

async fn start_endless(endless: Endless) -> SocketAddr {
    let listener = TcpListener::bind(unused_address()).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, endless));
        }
    });
    address
}

// Guards against a node that keeps what its servers send without end, and ends with the requests of other callers.
#[rstest]
#[case::line("/consult/1", Endless::Line)]
#[case::lines("/consult/1", Endless::Lines)]
#[case::resumable("/survey/1", Endless::Line)]
#[case::large_events("/consult/1", Endless::LargeEvents)]
#[case::interim_heads("/consult/1", Endless::InterimHeads)]
#[case::head("/consult/1", Endless::Head)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn memory_is_kept(#[case] path: &'static str, #[case] endless: Endless) {
    let _alone = alone().await;
    let harness = Harness::without_node().await;
    let mut cfg = default_config(1);
    for route in cfg["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(ROUTE_TIMEOUT_MS);
        route["target_latency_ms"] = json!(ROUTE_TIMEOUT_MS);
    }
    // The engines take all requests at once.
    cfg["services"][0]["max_connections"] = json!(REQUESTS);
    cfg["services"][0]["engine"]["slots"] = json!(REQUESTS);
    cfg["services"][0]["engine"]["kv_capacity"] = json!(10_000_000);
    harness.store.put(CONFIG_KEY, &cfg.to_string());
    for number in 0..SERVERS {
        let mut record = backend_record(ENGINES, start_endless(endless).await, "ready");
        record["slots"] = json!(REQUESTS);
        harness.store.put(&format!("servers/endless-{number}"), &record.to_string());
    }
    let sound = Backend::new("sound", Behavior::Complete);
    let server = start_server(Arc::<Backend>::clone(&sound));
    let record = backend_record(LEDGER, server.address, "ready");
    harness.store.put("servers/sound", &record.to_string());
    let settings = harness.settings_text("node-1");
    let text = format!("{settings}\n[capacity]\nmemory_mb = {}\n", MEMORY >> 20);
    let mut daemon = DaemonProcess::start("endless", &text);
    let address = |key: &str| -> SocketAddr {
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("{key} = ")));
        line.expect("a setting").parse().expect("an address")
    };
    let (callers, readiness) = (address("callers"), address("readiness"));
    let is_ready = async || get_status(readiness, "/readyz").await == Some(200);
    wait_until("the node is ready", is_ready).await;
    let is_answered = async || {
        let response = post_if_open(callers, "first", "/order/1").await;
        response.is_some_and(|response| response.status == 200)
    };
    wait_until("a sound request is answered", is_answered).await;

    let mut asking = JoinSet::new();
    for number in 0..REQUESTS {
        asking.spawn(async move {
            let (id, part) = (format!("endless-{number}"), format!("{:x}:800", number + 1));
            let _ = try_post(callers, &id, path, Some(&part)).await;
        });
    }
    sleep(GATHERING_TIME).await;
    for number in 0..SOUND_REQUESTS {
        let response = post_if_open(callers, &format!("sound-{number}"), "/order/1").await;
        let status = response.map(|response| response.status);
        assert_eq!(status, Some(200), "sound request {number}");
    }
    while asking.join_next().await.is_some() {}
    assert!(daemon.is_alive());
    let peak = daemon.peak_memory();
    assert!(peak <= MEMORY, "{} kB of memory", peak >> 10);
}
