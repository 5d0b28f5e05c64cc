//! Bodies without a mark of their end that arrive in small pieces.

use std::{net::SocketAddr, time::Duration};

use bulrushhall_external::http::{CheckedBody, Endpoint, EndpointOptions};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{sleep, timeout},
};

/// The pause between two pieces.
const PAUSE: Duration = Duration::from_millis(5);
/// How long the server keeps the connection open after the last piece.
const OPEN: Duration = Duration::from_secs(4);
/// The longest time until a piece is returned.
const LIMIT: Duration = Duration::from_secs(1);

/// Starts a server that answers with a body in pieces of one byte, and closes the connection some time after.
async fn start(body: &'static str, open: Duration) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    let Ok(byte) = stream.read_u8().await else { return };
                    head.push(byte);
                }
                let _ = stream.set_nodelay(true);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
                for byte in body.bytes() {
                    sleep(PAUSE).await;
                    let _ = stream.write_all(&[byte]).await;
                }
                sleep(open).await;
            });
        }
    });
    address
}

async fn ask(body: &'static str, open: Duration) -> CheckedBody {
    let endpoint = Endpoint::new(start(body, open).await, EndpointOptions::default());
    let req = Request::get("/").body(Full::new(Bytes::new())).expect("a request");
    endpoint.send(req).await.expect("a response").into_body()
}

// Guards against a piece that is kept back until the next one, although it is known that the body does not begin with framing.
#[rstest]
#[case::event("data: a\n\n")]
#[case::line("4\r\nabc\n\n")]
#[case::chunk_like("3\r\nabcd")]
#[tokio::test]
async fn nothing_is_kept(#[case] body: &'static str) {
    let mut response = ask(body, OPEN).await;
    let mut read = Vec::new();
    while read.len() < body.len() {
        let Ok(frame) = timeout(LIMIT, response.frame()).await else { break };
        let frame = frame.expect("a piece").expect("a sound piece");
        read.extend_from_slice(frame.data_ref().map_or(&[], |data| &data[..]));
    }
    assert_eq!(String::from_utf8_lossy(&read), body);
}

// Guards against a body that is lost because it could be the beginning of a chunk.
#[rstest]
#[case::number("17")]
#[case::line("17\r\n")]
#[case::start_of_head("HTTP/1")]
#[tokio::test]
async fn undecided_to_the_end(#[case] body: &'static str) {
    let read = ask(body, Duration::ZERO).await.collect().await.expect("a whole body");
    assert_eq!(read.to_bytes(), body);
}
