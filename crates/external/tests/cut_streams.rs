//! Streams of engines that have neither a length nor chunks and end with their connection.

use std::{net::SocketAddr, time::Duration};

use bulrushhall_core::{FencingNumber, Incarnation, ModelName, RequestId};
use bulrushhall_external::{
    Engine,
    clients::HttpEngine,
    engine::{Frame, Generate, Usage},
    http::{Endpoint, EndpointOptions},
};
use futures_util::StreamExt;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// The time limit of a frame.
const FRAME_TIMEOUT: Duration = Duration::from_secs(2);

async fn start_engine(body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await;
        let response = format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n{body}");
        stream.write_all(response.as_bytes()).await.expect("room");
    });
    address
}

fn event(frame: &Frame) -> String {
    format!("data: {}\n\n", serde_json::to_string(frame).expect("a frame"))
}

// Guards against an answer that is taken for whole although its last event was cut.
#[rstest]
#[case::whole(0, true)]
#[case::without_empty_line(1, false)]
#[case::without_line_end(2, false)]
#[case::inside_data(9, false)]
#[tokio::test]
async fn cut_last_event(#[case] missing: usize, #[case] is_whole: bool) {
    let body = event(&Frame::Token("a".into())) + &event(&Frame::Done(Usage::default()));
    let address = start_engine(body[..body.len() - missing].to_owned()).await;
    let engine = HttpEngine::new(Endpoint::new(address, EndpointOptions::default()), FRAME_TIMEOUT);
    let generate = Generate {
        request: RequestId { origin: Incarnation(1), sequence: 1 },
        attempt: 0,
        model: ModelName::new("m").expect("a name"),
        prompt: "p".into(),
        emitted: Vec::new(),
        max_tokens: 4,
        priority: 0,
        fence: FencingNumber(1),
    };
    let frames: Vec<_> = engine.generate(generate).await.expect("a response").collect().await;
    assert_eq!(frames[0], Ok(Frame::Token("a".into())));
    let is_done = frames.iter().any(|frame| matches!(frame, Ok(Frame::Done(_))));
    assert_eq!(is_done, is_whole, "{frames:?}");
    assert!(is_whole || frames.last().is_some_and(Result::is_err));
}
