//! Requests with ambiguous, forged or oversized headers.

use std::{net::SocketAddr, time::Duration};

use bulrushhall_bench::{Testbed, TestbedOptions, testbed::MODEL};
use bulrushhall_core::config::KeyHash;
use bulrushhall_daemon::config_chain;
use bulrushhall_external::{
    clients::HttpKeyValue,
    http::{Endpoint, EndpointOptions},
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

const KEY: &str = "sk-workshop-1";
const SECOND_KEY: &str = "sk-workshop-2";
const OTHER_KEY: &str = "sk-archive";
const TIMEOUT: Duration = Duration::from_secs(5);

async fn start_with_keys() -> Testbed {
    let testbed = Testbed::start(TestbedOptions::default()).await.expect("a testbed");
    let keys = format!(
        "[team workshop]\nkey_hash = {}\nother_key_hash = {}\n",
        KeyHash::of(KEY),
        KeyHash::of(SECOND_KEY)
    );
    let other = format!("[team archive]\nkey_hash = {}\n", KeyHash::of(OTHER_KEY));
    let text = testbed.config.replace("[team workshop]\n", &keys);
    let text = text.replace("[team archive]\n", &other);
    assert_ne!(text, testbed.config);
    let endpoint = Endpoint::new(testbed.kv.address(), EndpointOptions::default());
    let applied = config_chain::apply(&HttpKeyValue::new(endpoint), None, &text).await;
    let revision = applied.expect("an accepted configuration").revision;
    let in_force = async {
        while testbed.nodes[0].context().in_force().revision < revision {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, in_force).await.expect("the configuration in force");
    testbed
}

async fn send(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // The server may answer and close before it has read everything.
    let _ = stream.write_all(text.as_bytes()).await;
    let mut answer = vec![0; 4_096];
    let read = timeout(TIMEOUT, stream.read(&mut answer)).await.expect("an answer in time");
    let read = read.unwrap_or(0);
    String::from_utf8_lossy(&answer[..read]).into_owned()
}

fn status_of(answer: &str) -> u16 {
    let status = answer.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3));
    status.and_then(|status| status.parse().ok()).unwrap_or(0)
}

fn models_request(headers: &str) -> String {
    format!("GET /v1/models HTTP/1.1\r\nhost: entry\r\n{headers}\r\n")
}

fn chat_request(headers: &str) -> String {
    let body = format!(r#"{{"model":"{MODEL}","messages":[{{"role":"user","content":"x"}}]}}"#);
    let authorization = format!("authorization: Bearer {KEY}\r\n");
    let request = "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n";
    format!("{request}{authorization}{headers}\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
}

#[rstest]
#[case::key(&format!("authorization: Bearer {KEY}\r\n"), 200)]
#[case::second_key(&format!("authorization: Bearer {SECOND_KEY}\r\n"), 200)]
#[case::key_and_own_team(&format!("authorization: Bearer {KEY}\r\nx-team: workshop\r\n"), 200)]
#[case::no_key("", 401)]
#[case::wrong_key("authorization: Bearer sk-workshop-3\r\n", 401)]
#[case::hash_as_key(&format!("authorization: Bearer {}\r\n", KeyHash::of(KEY)), 401)]
#[case::empty_key("authorization: Bearer \r\n", 401)]
#[case::other_scheme("authorization: Basic d29ya3Nob3A6\r\n", 401)]
#[case::long_key(&format!("authorization: Bearer {}\r\n", "k".repeat(600)), 401)]
#[case::named_team("x-team: workshop\r\n", 401)]
#[case::other_team(&format!("authorization: Bearer {KEY}\r\nx-team: archive\r\n"), 401)]
#[case::two_keys(&format!("authorization: Bearer {KEY}\r\nauthorization: Bearer {OTHER_KEY}\r\n"), 400)]
#[case::two_teams("x-team: workshop\r\nx-team: archive\r\n", 400)]
#[tokio::test(flavor = "multi_thread")]
async fn caller_is_identified(#[case] headers: &str, #[case] status: u16) {
    let testbed = start_with_keys().await;
    let answer = send(testbed.nodes[0].callers(), &models_request(headers)).await;
    assert_eq!(status_of(&answer), status, "{answer}");
}

// Request smuggling: a proxy in front of the node and the node disagree on where a request ends, so
// that the node parses a part of a body as another caller's request. Such requests must be refused.
#[rstest]
#[case::two_lengths("content-length: 4\r\ncontent-length: 5\r\n")]
#[case::signed_length("content-length: +4\r\n")]
#[case::list_of_lengths("content-length: 4, 5\r\n")]
#[case::other_coding("transfer-encoding: xchunked\r\n")]
#[case::chunked_first("transfer-encoding: chunked, identity\r\n")]
#[case::two_codings("transfer-encoding: identity\r\ntransfer-encoding: chunked, gzip\r\n")]
#[case::space_before_colon("transfer-encoding : chunked\r\n")]
#[case::folded("x-note: a\r\n transfer-encoding: chunked\r\n")]
#[case::nul("x-note: a\0b\r\n")]
#[case::bare_return("x-note: a\rtransfer-encoding: chunked\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn ambiguous_length_is_refused(#[case] headers: &str) {
    let testbed = start_with_keys().await;
    let answer = send(testbed.nodes[0].callers(), &chat_request(headers)).await;
    assert_eq!(status_of(&answer), 400, "{answer}");
}

// If both headers are present, the server may use the chunked coding alone if it closes the
// connection afterwards (RFC 9112, section 6.1). What follows must not be parsed as a request,
// since a proxy that used the content length would have sent it as part of a body.
#[rstest]
#[case::length_first("content-length: 4\r\ntransfer-encoding: chunked\r\n")]
#[case::coding_first("transfer-encoding: chunked\r\ncontent-length: 4\r\n")]
#[tokio::test(flavor = "multi_thread")]
async fn length_and_chunked_closes_connection(#[case] headers: &str) {
    let testbed = start_with_keys().await;
    let smuggled = models_request(&format!("authorization: Bearer {OTHER_KEY}\r\n"));
    let text = format!("{}{smuggled}", chat_request(headers));
    let mut stream = TcpStream::connect(testbed.nodes[0].callers()).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("a sent request");
    let mut answers = Vec::new();
    let read = timeout(TIMEOUT, stream.read_to_end(&mut answers)).await;
    let answers = String::from_utf8_lossy(&answers).into_owned();
    assert!(read.is_ok(), "the connection stays open: {answers}");
    assert_eq!(answers.matches("HTTP/1.1 ").count(), 1, "{answers}");
}

#[tokio::test(flavor = "multi_thread")]
async fn well_formed_chunks() {
    let testbed = start_with_keys().await;
    let answer =
        send(testbed.nodes[0].callers(), &chat_request("transfer-encoding: chunked\r\n")).await;
    assert_eq!(status_of(&answer), 200, "{answer}");
}

#[rstest]
#[case::many(&"x-a: b\r\n".repeat(200))]
#[case::long_value(&format!("x-a: {}\r\n", "b".repeat(200_000)))]
#[case::long_name(&format!("{}: b\r\n", "a".repeat(200_000)))]
#[tokio::test(flavor = "multi_thread")]
async fn oversized_headers(#[case] headers: &str) {
    let testbed = start_with_keys().await;
    let answer = send(testbed.nodes[0].callers(), &models_request(headers)).await;
    // The server may close before all headers are written, which the client may see as a reset.
    assert!(matches!(status_of(&answer), 431 | 400 | 0), "{answer}");
    let valid_request = models_request(&format!("authorization: Bearer {KEY}\r\n"));
    let answer = send(testbed.nodes[0].callers(), &valid_request).await;
    assert_eq!(status_of(&answer), 200, "{answer}");
}

// A caller guesses or obtains the id of another team's request. It must not find out that the
// request exists.
#[tokio::test(flavor = "multi_thread")]
async fn other_teams_request() {
    let testbed = start_with_keys().await;
    let address = testbed.nodes[0].callers();
    let body = format!(r#"{{"model":"{MODEL}","messages":[{{"role":"user","content":"x"}}]}}"#);
    let submit = format!(
        "POST /v1/requests HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let accepted = send(address, &submit).await;
    assert_eq!(status_of(&accepted), 202, "{accepted}");
    let id = accepted.split("\"id\":\"").nth(1).and_then(|rest| rest.split('"').next());
    let id = id.expect("an id");

    for (method, path) in [("GET", ""), ("GET", "/stream"), ("DELETE", "")] {
        for (key, status) in [(OTHER_KEY, 404), ("sk-nobody", 401), (KEY, 200)] {
            if method == "DELETE" && key == KEY {
                continue;
            }
            let request = format!(
                "{method} /v1/requests/{id}{path} HTTP/1.1\r\nhost: entry\r\n\
                 authorization: Bearer {key}\r\n\r\n"
            );
            let answer = send(address, &request).await;
            assert_eq!(status_of(&answer), status, "{method} {path} {key}: {answer}");
        }
    }
}

// Paths of the operators' port and of the port between nodes must not be served on the callers'
// port, whatever the headers.
#[rstest]
#[case("/status")]
#[case("/metrics")]
#[case("/drain")]
#[case("/hello")]
#[case("/v1/../status")]
#[tokio::test(flavor = "multi_thread")]
async fn other_ports_paths_are_not_found(#[case] path: &str) {
    let testbed = start_with_keys().await;
    for method in ["GET", "POST"] {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: entry\r\nx-forwarded-for: 127.0.0.1\r\n\
             x-original-url: {path}\r\nauthorization: Bearer {KEY}\r\ncontent-length: 0\r\n\r\n"
        );
        let answer = send(testbed.nodes[0].callers(), &request).await;
        assert_eq!(status_of(&answer), 404, "{answer}");
    }
    assert!(!testbed.nodes[0].context().is_leaving());
}
