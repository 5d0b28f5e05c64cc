//! Responses whose heads have one spoilt byte.

use std::{
    env,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bulrushhall_external::http::{Endpoint, EndpointOptions, read_limited};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// The body that the server means to send.
const BODY: &str = "{\"items\":[17,4]}";
/// The variable with which each byte is replaced by all others.
const ALL_VALUES: &str = "SPOILT_BYTES_ALL";
/// The values that a byte is replaced by otherwise.
const VALUES: usize = 24;
/// The seed by which they are chosen.
const SEED: u64 = 82;
/// The bytes that are most likely to make another head.
const LIKELY: &[u8] = b"\r\n\t ,;:0123456789\x00\x80\xff-";
/// The requests that are sent at the same time.
const WORKERS: usize = 8;
/// The time limit for a response.
const LIMIT: Duration = Duration::from_secs(5);

const LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-type: a/b\r\ncontent-length: 16\r\n\r\n";
const CLOSING: &str = "HTTP/1.1 200 OK\r\ncontent-length: 16\r\nconnection: close\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-a: b\r\n\r\n";
const INTERIM: &str =
    "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 16\r\n\r\n";
const OLD: &str = "HTTP/1.0 200 OK\r\ncontent-length: 16\r\n\r\n";

fn payload(head: &str) -> String {
    if head.contains("chunked") {
        return format!("8\r\n{}\r\n8\r\n{}\r\n0\r\n\r\n", &BODY[..8], &BODY[8..]);
    }
    BODY.to_owned()
}

/// Returns all heads that differ from `head` in one byte.
fn spoilt(head: &str) -> Vec<Vec<u8>> {
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    let mut heads = Vec::new();
    for at in 0..head.len() {
        let values: Vec<u8> = match env::var_os(ALL_VALUES) {
            Some(_) => (0..=u8::MAX).collect(),
            None => LIKELY.iter().copied().chain((0..VALUES).map(|_| random.random())).collect(),
        };
        for value in values {
            let mut spoilt = head.as_bytes().to_vec();
            spoilt[at] = value;
            heads.push(spoilt);
        }
    }
    heads
}

/// Starts a server that answers the request `/N` with the answer of this number and closes the connection.
async fn start(answers: Arc<Vec<Vec<u8>>>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answers = Arc::clone(&answers);
            tokio::spawn(async move {
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    let Ok(byte) = stream.read_u8().await else { return };
                    head.push(byte);
                }
                let head = String::from_utf8_lossy(&head);
                let path = head.split(' ').nth(1).and_then(|path| path.strip_prefix('/'));
                let number: usize = path.and_then(|path| path.parse().ok()).expect("a number");
                let _ = stream.write_all(&answers[number]).await;
                let _ = stream.shutdown().await;
            });
        }
    });
    address
}

/// Returns the body of the answer with a number, if it counts as whole.
async fn whole_body(endpoint: &Endpoint, number: usize) -> Option<Bytes> {
    let req = Request::get(format!("/{number}")).body(Full::default()).expect("a request");
    let response = endpoint.send(req).await.ok()?;
    read_limited(response.into_body(), 1 << 16, LIMIT).await.ok()
}

// Guards against a head with any spoilt byte that makes another body a whole answer.
#[rstest]
#[case::length(LENGTH)]
#[case::closing(CLOSING)]
#[case::chunked(CHUNKED)]
#[case::interim(INTERIM)]
#[case::old(OLD)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_other_body(#[case] head: &str) {
    let heads = spoilt(head);
    let payload = payload(head);
    let answers: Vec<Vec<u8>> =
        heads.iter().map(|head| [&head[..], payload.as_bytes()].concat()).collect();
    let count = answers.len();
    let address = start(Arc::new(answers)).await;
    let options = EndpointOptions { max_idle: 0, ..EndpointOptions::default() };
    let endpoint = Arc::new(Endpoint::new(address, options));
    let others = Arc::new(Mutex::new(Vec::new()));
    let mut workers = tokio::task::JoinSet::new();
    for worker in 0..WORKERS {
        let (endpoint, others) = (Arc::clone(&endpoint), Arc::clone(&others));
        workers.spawn(async move {
            for number in (worker..count).step_by(WORKERS) {
                let Some(body) = whole_body(&endpoint, number).await else { continue };
                if body != BODY {
                    others.lock().expect("no panic while it is held").push((number, body));
                }
            }
        });
    }
    while let Some(ended) = workers.join_next().await {
        ended.expect("a worker that ends");
    }
    let others = others.lock().expect("no panic while it is held");
    let shown = others.iter().take(12);
    let shown: Vec<_> = shown.map(|(at, it)| (String::from_utf8_lossy(&heads[*at]), it)).collect();
    assert!(others.is_empty(), "{} of {count}: {shown:#?}", others.len());
}
