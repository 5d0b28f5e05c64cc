//! A request that is refused as not run has not run, and its error names the cause.

use std::time::{Duration, Instant};

use bulrushhall_bench::{Probe, Testbed, TestbedOptions};
use bulrushhall_core::Ran;
use hyper::Method;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

const CHAT: &str = "/v1/chat/completions";
const ORDERS: &str = "/v1/services/guild-ledger/orders";
/// The longest stop of a node that has nothing to finish but the body of a refused request, of which it discards 1 s.
const MAX_STOP: Duration = Duration::from_secs(2);
const MESSAGES: &str = r#"[{"role":"user","content":"a"}]"#;

fn chat_body(model: &str, messages: &str, rest: &str) -> String {
    format!(r#"{{"model":"{model}","messages":{messages}{rest}}}"#)
}

// Each request is invalid in one way. A caller that is told "not run" may send its request again;
// if it had run after all, an order would be executed twice.
#[rstest]
#[case::not_json(Method::POST, CHAT, "{".to_owned(), 400, "malformed_json")]
#[case::not_an_object(Method::POST, CHAT, "[]".to_owned(), 400, "malformed_json")]
#[case::no_model(Method::POST, CHAT, r#"{"messages":[]}"#.to_owned(), 400, "malformed_json")]
#[case::unknown_model(Method::POST, CHAT, chat_body("other", MESSAGES, ""), 404, "model_not_found")]
#[case::malformed_model(
    Method::POST,
    CHAT,
    chat_body("a b/c", MESSAGES, ""),
    404,
    "model_not_found"
)]
#[case::no_messages(Method::POST, CHAT, chat_body("motif-7b", "[]", ""), 400, "invalid_value")]
#[case::no_tokens(
    Method::POST,
    CHAT,
    chat_body("motif-7b", MESSAGES, r#","max_tokens":0"#),
    400,
    "invalid_value"
)]
#[case::wrong_method(Method::GET, CHAT, String::new(), 405, "method_not_allowed")]
#[case::models_posted(Method::POST, "/v1/models", String::new(), 405, "method_not_allowed")]
#[case::unknown_path(Method::GET, "/v2/models", String::new(), 404, "not_found")]
#[case::model_shown(Method::GET, "/v1/models/other", String::new(), 404, "model_not_found")]
#[case::no_key(Method::POST, ORDERS, "{}".to_owned(), 400, "missing_idempotency_key")]
#[case::unknown_service(
    Method::POST,
    "/v1/services/other/orders",
    "{}".to_owned(),
    404,
    "service_not_found"
)]
#[case::model_service(
    Method::POST,
    "/v1/services/pattern-desk/generate",
    "{}".to_owned(),
    404,
    "service_not_found"
)]
#[case::unknown_request(Method::GET, "/v1/requests/r-1-1", String::new(), 404, "request_not_found")]
#[case::malformed_request(Method::GET, "/v1/requests/1", String::new(), 404, "request_not_found")]
#[case::too_large(Method::POST, CHAT, "x".repeat(3 << 20), 413, "body_too_large")]
#[tokio::test(flavor = "multi_thread")]
async fn typed_error(
    #[case] method: Method,
    #[case] path: &str,
    #[case] body: String,
    #[case] status: u16,
    #[case] code: &str,
) {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("a testbed");
    let probe = Probe::new(testbed.nodes[0].callers());
    let reply = probe.send(method, path, body).await.expect("an answer");

    assert_eq!((reply.status.as_u16(), reply.error_code().as_str()), (status, code));
    assert_eq!(reply.ran(), Some(Ran::No));
    assert!(reply.json()["error"]["type"].is_string());
    assert!(reply.json()["error"]["message"].is_string());
    assert_eq!(testbed.machines.engine_counts().generates, 0);
    assert!(testbed.ledger.counts().runs.is_empty());
}

#[rstest]
#[case::unknown_class("x-request-class", "other", 400, "unknown_class")]
#[case::unknown_team("x-team", "other", 401, "unknown_key")]
#[tokio::test(flavor = "multi_thread")]
async fn unknown_header_value(
    #[case] name: &str,
    #[case] value: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("a testbed");
    let probe = Probe::new(testbed.nodes[0].callers()).with(name, value);
    let body = chat_body("motif-7b", MESSAGES, "");
    let reply = probe.send(Method::POST, CHAT, body).await.expect("an answer");
    assert_eq!((reply.status.as_u16(), reply.error_code().as_str()), (status, code));
    assert_eq!(reply.ran(), Some(Ran::No));
    assert_eq!(testbed.machines.engine_counts().generates, 0);
}

// Guards against a request that finds its connection closed because the one before it was refused before its body had arrived.
#[rstest]
#[case::unknown_path("/v2/models", "HTTP/1.1 404")]
#[case::wrong_method("/v1/models", "HTTP/1.1 405")]
#[tokio::test(flavor = "multi_thread")]
async fn late_body(#[case] path: &str, #[case] refusal: &str) {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("a testbed");
    let mut stream = TcpStream::connect(testbed.nodes[0].callers()).await.expect("a connection");
    let refused = format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n");
    stream.write_all(refused.as_bytes()).await.expect("an open connection");
    sleep(Duration::from_millis(50)).await;
    stream.write_all(b"asked").await.expect("an open connection");
    let next = "GET /v1/models HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    sleep(Duration::from_millis(50)).await;
    stream.write_all(next.as_bytes()).await.expect("an open connection");
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    timeout(Duration::from_secs(10), reading).await.expect("an end").expect("whole responses");
    let received = String::from_utf8_lossy(&received);
    assert!(received.starts_with(refusal), "{received}");
    assert_eq!(received.matches("HTTP/1.1").count(), 2, "{received}");
}

// Guards against a node whose stop waits for the body of a request that it has refused while it leaves.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn refused_while_leaving(#[values(false, true)] leaves_before: bool) {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("a testbed");
    let node = &testbed.nodes[0];
    let mut stream = TcpStream::connect(node.callers()).await.expect("a connection");
    if leaves_before {
        node.context().leave();
    }
    let refused = "POST /v2/models HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nas";
    stream.write_all(refused.as_bytes()).await.expect("an open connection");
    let mut refusal = [0; 12];
    stream.read_exact(&mut refusal).await.expect("a refusal");
    assert_eq!(&refusal, b"HTTP/1.1 404");
    let stopped_at = Instant::now();
    node.stop().await;
    assert!(stopped_at.elapsed() < MAX_STOP, "{:?}", stopped_at.elapsed());
}
