//! Servers behind the own interface that answer with heads which are spoilt where they tell the status or the length of the body.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bulrushhall_bench::{
    Probe, Testbed, TestbedOptions,
    testbed::{LEDGER, MODEL, SERVICE},
};
use bulrushhall_core::Ran;
use bulrushhall_daemon::config_chain;
use bulrushhall_external::{
    clients::HttpKeyValue,
    http::{Endpoint, EndpointOptions},
};
use bulrushhall_standin::engine::expected_answer;
use hyper::{Method, StatusCode};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// The body that the plain service means to send.
const BODY: &str = "{\"left\":17}";
/// The same in chunks.
const CHUNKS: &str = "b\r\n{\"left\":17}\r\n0\r\n\r\n";
/// The tokens of an answer.
const TOKENS: u32 = 6;
/// The longest time until a changed configuration is in force.
const CONFIG_TIME: Duration = Duration::from_secs(10);

/// What a server sends, by its status, the fields that frame its body, and the bytes after the head.
type Answer = (&'static str, &'static [u8], &'static str);

/// Answers that can't be used.
const MALFORMED: [Answer; 14] = [
    ("200 OK", b"transfer-encoding: chunkee\r\n", CHUNKS),
    ("200 OK", b"transfer-encoding: \r\n", CHUNKS),
    ("200 OK", b"transfer-encoding: gzip\r\n", CHUNKS),
    ("200 OK", b"transfer-encoding: chunked;q=1\r\n", CHUNKS),
    ("200 OK", b"transfer-encoding: chunked\xe9\r\n", CHUNKS),
    ("200 OK", b"transfer-encoding: gzip, chunked\r\n", CHUNKS),
    ("200 OK", b"transfer-encoding: chunkee\r\ncontent-length: 3\r\n", CHUNKS),
    ("200 OK", b"transfer-encodinx: chunked\r\n", CHUNKS),
    ("200 OK", b"content-length: 3\r\n", BODY),
    ("204 No Content", b"content-length: 11\r\n", BODY),
    ("101 Switching Protocols", b"content-length: 11\r\n", BODY),
    ("600 OK", b"content-length: 11\r\n", BODY),
    ("999 OK", b"content-length: 11\r\n", BODY),
    ("200 OK", b"\n: x\r\ncontent-length: 11\r\n", BODY),
];

#[derive(Default)]
struct RawServer {
    answer: Mutex<Option<Answer>>,
    calls: AtomicUsize,
}

impl RawServer {
    async fn start() -> (SocketAddr, Arc<RawServer>) {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let server = Arc::new(RawServer::default());
        let serving = Arc::clone(&server);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = Arc::clone(&serving);
                tokio::spawn(async move { server.serve(stream).await });
            }
        });
        (address, server)
    }

    fn play(&self, answer: Answer) {
        *self.answer.lock().expect("no panic while it is held") = Some(answer);
    }

    // Answers with its identity first, as the check of each new connection asks for.
    async fn serve(&self, mut stream: TcpStream) {
        while let Some(head) = read_request(&mut stream).await {
            if head.starts_with("GET /identity") {
                let identity = json!({ "vm": "vm-raw" }).to_string();
                let length = identity.len();
                let answer =
                    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{identity}");
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            self.calls.fetch_add(1, Ordering::Relaxed);
            let answer = *self.answer.lock().expect("no panic while it is held");
            let Some((status, fields, payload)) = answer else { return };
            let status = format!("HTTP/1.1 {status}\r\n");
            let answer = [status.as_bytes(), fields, b"\r\n", payload.as_bytes()].concat();
            let _ = stream.write_all(&answer).await;
            let _ = stream.shutdown().await;
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(head.replacen("get ", "GET ", 1))
}

/// Starts a testbed, in which a raw server takes the place of all others of a service.
async fn start(service: &str) -> (Testbed, Arc<RawServer>) {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("a testbed");
    let (address, server) = RawServer::start().await;
    let mut lines = Vec::new();
    let mut is_service = false;
    for line in testbed.config.lines() {
        if line.starts_with('[') {
            is_service = line == format!("[service {service}]");
        }
        let zone = testbed.zone_of(0);
        let is_backends = is_service && line.starts_with("backends");
        lines.push(if is_backends {
            format!("backends = vm-raw@{zone}@{address}")
        } else {
            line.to_owned()
        });
    }
    let kv = HttpKeyValue::new(Endpoint::new(testbed.kv.address(), EndpointOptions::default()));
    config_chain::apply(&kv, None, &lines.join("\n")).await.expect("an applied configuration");
    (testbed, server)
}

async fn wait_until_used(probe: &Probe, server: &RawServer) {
    let path = format!("/v1/services/{LEDGER}/stock");
    let began = tokio::time::Instant::now();
    server.play(MALFORMED[0]);
    while server.calls.load(Ordering::Relaxed) == 0 {
        assert!(began.elapsed() < CONFIG_TIME, "the raw server is not used");
        let _ = probe.send(Method::GET, &path, "").await;
        sleep(Duration::from_millis(20)).await;
    }
}

// Guards against a call of a plain service that is answered with what its server did not mean.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lookups() {
    let (testbed, server) = start(LEDGER).await;
    let probe = Probe::new(testbed.nodes[0].callers()).with("x-team", "workshop");
    wait_until_used(&probe, &server).await;
    let mut passed = Vec::new();
    for answer in MALFORMED {
        server.play(answer);
        let path = format!("/v1/services/{LEDGER}/stock");
        let reply = probe.send(Method::GET, &path, "").await.expect("an answer");
        if reply.error_code().is_empty() || reply.status.is_success() {
            passed.push((answer.0, answer.1, reply.status, reply.body));
        }
    }
    assert!(passed.is_empty(), "{passed:#?}");
}

// Guards against an order that is answered with what its server did not mean, that runs twice, or that is said not to have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders() {
    let (testbed, server) = start(LEDGER).await;
    let probe = Probe::new(testbed.nodes[0].callers()).with("x-team", "workshop");
    wait_until_used(&probe, &server).await;
    let mut passed = Vec::new();
    for (number, answer) in MALFORMED.into_iter().enumerate() {
        server.play(answer);
        let before = server.calls.load(Ordering::Relaxed);
        let probe = Probe::new(testbed.nodes[0].callers()).with("x-team", "workshop");
        let probe = probe.with("idempotency-key", format!("k-{number}"));
        let path = format!("/v1/services/{LEDGER}/orders");
        let reply = probe.send(Method::POST, &path, "{}").await.expect("an answer");
        let calls = server.calls.load(Ordering::Relaxed) - before;
        if reply.ran() != Some(Ran::Unknown) || calls != 1 {
            passed.push((answer.0, answer.1, reply.status, reply.body, calls));
        }
    }
    assert!(passed.is_empty(), "{passed:#?}");
}

// Guards against a chat answer that is made of a spoilt answer of its engine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chats() {
    let (testbed, server) = start(SERVICE).await;
    let probe = Probe::new(testbed.nodes[0].callers()).with("x-team", "workshop");
    let chat = json!({
        "model": MODEL, "messages": [{"role": "user", "content": "tile"}], "max_tokens": TOKENS
    })
    .to_string();
    let events = "data: {\"done\":{}}\n\n";
    server.play(("200 OK", b"transfer-encoding: chunkee\r\n", events));
    for _ in 0..4 {
        let sent = probe.send(Method::POST, "/v1/chat/completions", chat.clone());
        let Ok(Ok(reply)) = tokio::time::timeout(Duration::from_secs(1), sent).await else {
            continue;
        };
        let text = reply.json()["choices"][0]["message"]["content"].clone();
        let is_whole = text == expected_answer("user: tile\n", TOKENS);
        assert!(reply.status != StatusCode::OK || is_whole, "{:?}", reply.body);
    }
}
