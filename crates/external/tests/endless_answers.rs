//! Servers that send bytes without end which are no answer, until the connection is closed.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bulrushhall_core::{FencingNumber, Incarnation, ModelName, Ran, RequestId};
use bulrushhall_external::{
    Engine, KeyValue,
    clients::{HttpEngine, HttpKeyValue},
    engine::{Frame, Generate},
    http::{Endpoint, EndpointOptions},
};
use futures_util::StreamExt;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{sleep, timeout},
};

/// The bytes that are sent at once.
const PIECE: usize = 16 * 1_024;
/// The bytes that a server may send until its connection is closed, with what the sockets of both sides hold.
const MAX_SENT: usize = 48 << 20;
/// The time in which the client has to give up, and to close the connection.
const CLOSING_TIME: Duration = Duration::from_secs(2);
/// The time limit of a frame.
const FRAME_TIMEOUT: Duration = Duration::from_secs(30);
/// The tokens that are asked for.
const TOKENS: u32 = 4;

#[derive(Default)]
struct Seen {
    sent: AtomicUsize,
    closed: AtomicBool,
}

// Starts a server that answers with a beginning and then with a piece without end.
async fn start_server(begin: &str, piece: &str) -> (SocketAddr, Arc<Seen>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (begin, piece) = (begin.to_owned(), piece.repeat(PIECE / piece.len()));
    let seen = Arc::new(Seen::default());
    let of_server = Arc::clone(&seen);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await;
        let mut sending = begin;
        while stream.write_all(sending.as_bytes()).await.is_ok() {
            of_server.sent.fetch_add(sending.len(), Ordering::Relaxed);
            sending.clone_from(&piece);
        }
        of_server.closed.store(true, Ordering::Relaxed);
    });
    (address, seen)
}

async fn check_closed(seen: &Seen) {
    let closed = async {
        while !seen.closed.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(CLOSING_TIME, closed).await.expect("the connection is closed");
    let sent = seen.sent.load(Ordering::Relaxed);
    assert!(sent <= MAX_SENT, "{sent} bytes");
}

fn generate() -> Generate {
    Generate {
        request: RequestId { origin: Incarnation(1), sequence: 1 },
        attempt: 0,
        model: ModelName::new("m").expect("a name"),
        prompt: "p".into(),
        emitted: Vec::new(),
        max_tokens: TOKENS,
        priority: 0,
        fence: FencingNumber(1),
    }
}

const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

// Guards against an engine whose bytes are read until the time limit of a frame, or fill the memory.
#[rstest]
#[case::header("HTTP/1.1 200 OK\r\nx: ", "a")]
#[case::interim_heads("", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n")]
#[case::garbage("", "\u{1}garbage")]
#[case::comments(STREAM, ": a\n\n")]
#[case::comment_lines(STREAM, ": a\n")]
#[case::event(&format!("{STREAM}data: "), "a")]
#[case::lines(STREAM, "a: b\n\n")]
#[tokio::test]
async fn engine_without_end(#[case] begin: &str, #[case] piece: &str) {
    let (address, seen) = start_server(begin, piece).await;
    let engine = HttpEngine::new(Endpoint::new(address, EndpointOptions::default()), FRAME_TIMEOUT);
    let frames = async {
        let frames = engine.generate(generate()).await?;
        let frames: Vec<_> = frames.collect().await;
        Ok(frames)
    };
    let frames = timeout(CLOSING_TIME, frames).await.expect("an end in time");
    match frames {
        Ok(frames) => assert!(frames.len() == 1 && frames[0].is_err(), "{frames:?}"),
        Err(error) => {
            let error: bulrushhall_external::CallError = error;
            assert_eq!(error.ran, Ran::Unknown);
        }
    }
    check_closed(&seen).await;
}

// Guards against an answer that has more tokens than were asked for.
#[tokio::test]
async fn tokens_without_end() {
    let token = serde_json::to_string(&Frame::Token("a".into())).expect("a frame");
    let (address, seen) = start_server(STREAM, &format!("data: {token}\n\n")).await;
    let engine = HttpEngine::new(Endpoint::new(address, EndpointOptions::default()), FRAME_TIMEOUT);
    let frames: Vec<_> = engine.generate(generate()).await.expect("a response").collect().await;
    let tokens = frames.iter().filter(|frame| frame.is_ok()).count();
    assert_eq!((tokens, frames.len()), (TOKENS as usize, TOKENS as usize + 1));
    drop(frames);
    check_closed(&seen).await;
}

// Guards against a key-value service whose bytes are read without end.
#[rstest]
#[case::header("HTTP/1.1 200 OK\r\nx: ", "a")]
#[case::interim_heads("", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n")]
#[case::body("HTTP/1.1 200 OK\r\nx-version: 1\r\n\r\n", "a")]
#[tokio::test]
async fn key_value_without_end(#[case] begin: &str, #[case] piece: &str) {
    let (address, seen) = start_server(begin, piece).await;
    let kv = HttpKeyValue::new(Endpoint::new(address, EndpointOptions::default()));
    let got = timeout(CLOSING_TIME, kv.get("a")).await.expect("an end in time");
    assert!(got.is_err());
    check_closed(&seen).await;
}
