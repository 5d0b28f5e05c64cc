//! Crowds of clients that don't behave, at a node of the own interface.

mod crowd;

use std::{net::SocketAddr, time::Duration};

use bulrushhall_bench::{
    Caller, Testbed, TestbedOptions,
    testbed::{LEDGER, MODEL},
};
use bytes::Bytes;
use crowd::{Client, Crowd, DaemonProcess, MAX_DESCRIPTORS, Pieces, alone, wait_until};
use rstest::rstest;
use serde_json::{Value, json};

/// The memory of the VM that the settings assume unless they name another one, in bytes.
const MEMORY: usize = 128 << 20;
/// The largest body of a request, in bytes.
const MAX_BODY: usize = 2 << 20;

/// A node in its own process, with the stand-ins of a deployment.
struct Deployment {
    testbed: Testbed,
    daemon: DaemonProcess,
    caller: Caller,
    callers: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
}

impl Deployment {
    async fn start() -> Deployment {
        let options = TestbedOptions { nodes: 0, ..TestbedOptions::default() };
        let testbed = Testbed::start(options).await.expect("stand-ins");
        let settings = format!(
            "[node]\nname = entry-1\nzone = suva-a\n\n[platform]\nkey_value = {}\n\
             [log]\nfilter = error\n",
            testbed.kv.address()
        );
        let (daemon, line) = DaemonProcess::start_with_line("callers", &settings);
        let ready = line.strip_prefix("ready ").expect("a line that lists the ports");
        let ready: Value = serde_json::from_str(ready).expect("JSON");
        let address = |key: &str| {
            ready[key].as_str().expect("an address").parse::<SocketAddr>().expect("an address")
        };
        let [callers, peers, operators] = ["callers", "peers", "operators"].map(address);
        let caller = Caller::new(callers, "workshop");
        let deployment = Deployment { testbed, daemon, caller, callers, peers, operators };
        deployment.wait_for_answer().await;
        deployment
    }

    // An ordinary caller repeats a request that was refused.
    async fn wait_for_answer(&self) {
        let answered = async || self.is_answered().await;
        wait_until("an ordinary request is answered", answered).await;
    }

    async fn is_answered(&self) -> bool {
        let answered = self.caller.chat(MODEL, "urgent", "which kiln", 8).await;
        answered.is_ok_and(|answer| answer.whole)
    }

    // Plays a crowd at a port, and checks what has to hold while it is there and afterwards.
    async fn withstand(mut self, address: SocketAddr, client: Client, count: usize) {
        let before = self.daemon.descriptors();
        let crowd = Crowd::gather(address, &client, count).await;
        assert!(self.daemon.is_alive());
        self.wait_for_answer().await;
        let (peak, open) = (self.daemon.peak_memory(), self.daemon.descriptors());
        assert!(peak <= MEMORY, "{} kB of memory", peak >> 10);
        assert!(open <= MAX_DESCRIPTORS, "{open} descriptors");
        drop(crowd);
        self.daemon.wait_for_descriptors(before).await;
        assert!(self.is_answered().await);
        drop(self.testbed);
    }
}

fn head_to(path: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: entry\r\nx-team: workshop\r\nx-request-class: urgent\r\n\
         content-type: application/json\r\n{framing}\r\n\r\n"
    )
}

fn with_length(path: &str, length: usize) -> String {
    head_to(path, &format!("content-length: {length}"))
}

fn chunked(path: &str) -> String {
    head_to(path, "transfer-encoding: chunked")
}

fn chat_body(text: &str) -> String {
    json!({
        "model": MODEL, "max_tokens": 8, "messages": [{ "role": "user", "content": text }]
    })
    .to_string()
}

// A whole request of about `size` bytes.
fn whole(path: &str, body: String) -> Client {
    Client { head: with_length(path, body.len()) + &body, ..Client::default() }
}

// A body whose parts are as small as JSON allows, so that a parser that keeps them all takes many times its size.
fn body_of_parts(part: &str, size: usize) -> String {
    let parts = vec![part; size / (part.len() + 1)].join(",");
    format!("{{\"model\":\"{MODEL}\",\"max_tokens\":8,\"messages\":[{parts}]}}")
}

// Guards against bodies of clients that stay, whose sum takes the node over its memory.
#[rstest]
#[case::whole(100, whole("/v1/chat/completions", chat_body(&"a".repeat(MAX_BODY - 1_000))))]
#[case::nearly_whole(100, Client { head: with_length("/v1/chat/completions", MAX_BODY), pieces: Pieces::of_size(65_535, 32), ..Client::default() })]
#[case::small_pieces(300, Client { head: with_length("/v1/chat/completions", 16_384), pieces: Pieces { pause: Some(Duration::from_millis(2)), ..Pieces::of_size(32, 511) }, ..Client::default() })]
#[case::large_chunks(100, Client { head: chunked("/v1/chat/completions"), pieces: Pieces::of_chunks(524_287, 1, 4), ..Client::default() })]
#[case::tiny_chunks(20, Client { head: chunked("/v1/chat/completions"), pieces: Pieces::of_chunks(1, 4_096, 200), ..Client::default() })]
#[case::tiny_chunks_over(6, Client { head: chunked("/v1/chat/completions"), pieces: Pieces::of_chunks(1, 4_096, 520), ..Client::default() })]
#[case::announced_over(400, Client { head: with_length("/v1/chat/completions", 1 << 40), pieces: Pieces::of_size(65_536, 4), ..Client::default() })]
#[case::sent_over(400, Client { head: chunked("/v1/chat/completions"), pieces: Pieces::of_chunks(65_536, 1, 64), ..Client::default() })]
#[case::calls(100, Client { head: with_length(&format!("/v1/services/{LEDGER}/orders"), MAX_BODY), pieces: Pieces::of_size(65_535, 32), ..Client::default() })]
#[case::unknown_path(400, Client { head: with_length("/v1/nothing", MAX_BODY), pieces: Pieces::of_size(65_535, 32), ..Client::default() })]
#[case::messages(12, whole("/v1/chat/completions", body_of_parts("{\"role\":\"\"}", MAX_BODY - 1_000)))]
#[case::content_parts(12, whole("/v1/chat/completions", body_of_parts(&format!("{{\"role\":\"\",\"content\":[{}]}}", vec!["{}"; 600_000].join(",")), MAX_BODY - 1_000)))]
#[case::submitted(100, whole("/v1/requests", chat_body(&"a".repeat(1_000_000))))]
#[tokio::test(flavor = "multi_thread")]
async fn bodies(#[case] count: usize, #[case] client: Client) {
    let _alone = alone().await;
    let deployment = Deployment::start().await;
    let callers = deployment.callers;
    deployment.withstand(callers, client, count).await;
}

// Guards against heads and idle connections that take the node over its memory.
#[rstest]
#[case::half_heads(800, Client { head: "GET /v1/models HTTP/1.1\r\n".to_owned(), pieces: Pieces { bytes: Bytes::from(format!("x-long: {}\r\n", "a".repeat(2_000))), count: 30, pause: None }, ..Client::default() })]
#[case::trailers(300, Client { head: chunked("/v1/chat/completions"), tail: Bytes::from(format!("1\r\na\r\n0\r\nx-long: {}", "t".repeat(15_000))), ..Client::default() })]
#[case::pipelined(100, Client { pieces: Pieces { bytes: Bytes::from("GET /v1/models HTTP/1.1\r\nhost: entry\r\nx-team: workshop\r\n\r\n"), count: 300, pause: None }, ..Client::default() })]
#[case::idle(3_000, Client::default())]
#[tokio::test(flavor = "multi_thread")]
async fn heads(#[case] count: usize, #[case] client: Client) {
    let _alone = alone().await;
    let deployment = Deployment::start().await;
    let callers = deployment.callers;
    deployment.withstand(callers, client, count).await;
}

// Guards against clients of the ports for nodes and operators, which share the memory of the process.
#[rstest]
#[case::messages(64, Client { head: with_length("/members", 4 << 20), pieces: Pieces::of_size(65_535, 64), ..Client::default() })]
#[case::message_chunks(16, Client { head: chunked("/members"), pieces: Pieces::of_chunks(1, 4_096, 300), ..Client::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn messages(#[case] count: usize, #[case] client: Client) {
    let _alone = alone().await;
    let deployment = Deployment::start().await;
    let peers = deployment.peers;
    deployment.withstand(peers, client, count).await;
}

// Guards against a crowd at the operators' port, whose connections take the descriptors of the process.
#[tokio::test(flavor = "multi_thread")]
async fn operator_connections() {
    let _alone = alone().await;
    let deployment = Deployment::start().await;
    let operators = deployment.operators;
    let head = "GET /metrics HTTP/1.1\r\n".to_owned();
    let pieces = Pieces {
        bytes: Bytes::from(format!("x-long: {}\r\n", "a".repeat(2_000))),
        count: 30,
        pause: None,
    };
    let client = Client { head, pieces, ..Client::default() };
    deployment.withstand(operators, client, 800).await;
}

// Guards against bounds that refuse a single request inside the limits, at their border.
#[rstest]
#[case::by_length(with_length("/v1/chat/completions", MAX_BODY), Pieces { bytes: Bytes::from(border_body()), count: 1, pause: None }, "")]
#[case::tiny_chunks(chunked("/v1/chat/completions"), Pieces { bytes: Bytes::from(in_tiny_chunks(&chat_body(&"a".repeat(400_000)))), count: 1, pause: None }, "0\r\n\r\n")]
#[case::slow_pieces(with_length("/v1/chat/completions", MAX_BODY), Pieces { bytes: Bytes::from(border_body()[..1].to_owned()), count: 1, pause: Some(Duration::from_millis(2_000)) }, &border_body()[1..])]
#[tokio::test(flavor = "multi_thread")]
async fn served_in_calm(#[case] head: String, #[case] pieces: Pieces, #[case] tail: &str) {
    let _alone = alone().await;
    let deployment = Deployment::start().await;
    let head = head.replacen("\r\n", "\r\nconnection: close\r\n", 1);
    let client = Client { head, pieces, tail: Bytes::copy_from_slice(tail.as_bytes()) };
    let response = client.response(deployment.callers).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{}", &response[..response.len().min(1_000)]);
}

// JSON of exactly the largest size: spaces follow it.
fn border_body() -> String {
    let body = chat_body("which kiln");
    let spaces = " ".repeat(MAX_BODY - body.len());
    body + &spaces
}

fn in_tiny_chunks(body: &str) -> String {
    body.chars().map(|letter| format!("1\r\n{letter}\r\n")).collect()
}
