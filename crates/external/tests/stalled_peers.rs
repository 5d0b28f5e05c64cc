//! The server releases all resources of peers that stall.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bulrushhall_external::{
    BoxFuture,
    http::{Body, Handler, ServerOptions, listen, read_limited, serve, streamed},
};
use bytes::Bytes;
use futures_util::stream;
use hyper::{Request, Response, body::Incoming};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, sleep, timeout},
};

/// Responds with endless bodies and counts the responses that are in memory.
#[derive(Default)]
struct Endless {
    held: Arc<AtomicUsize>,
}

struct HeldGuard(Arc<AtomicUsize>);

impl HeldGuard {
    fn new(held: &Arc<AtomicUsize>) -> HeldGuard {
        held.fetch_add(1, Ordering::SeqCst);
        HeldGuard(Arc::clone(held))
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for Endless {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let held = HeldGuard::new(&self.held);
            let _ = read_limited(req.into_body(), 1_000_000, Duration::from_millis(200)).await;
            let chunk = Bytes::from(vec![b'x'; 64 * 1024]);
            Response::new(streamed(stream::unfold(held, move |held| {
                let chunk = chunk.clone();
                async move { Some((chunk, held)) }
            })))
        })
    }
}

async fn start(options: ServerOptions) -> (SocketAddr, Arc<AtomicUsize>, watch::Sender<bool>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::new(Endless::default());
    let held = Arc::clone(&handler.held);
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(serve(listener, handler, options, stopped));
    (address, held, stop)
}

async fn wait_for(held: &AtomicUsize, count: usize) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while held.load(Ordering::SeqCst) != count {
        assert!(Instant::now() < deadline, "still {} held", held.load(Ordering::SeqCst));
        sleep(Duration::from_millis(5)).await;
    }
}

// A caller's machine hangs after sending its request: its receive window fills and nothing more can
// be written. Without a limit each such caller would hold a response, its buffers and a file handle
// until the node restarts.
#[tokio::test]
async fn never_reads() {
    let write_timeout = Duration::from_millis(300);
    let (address, held, _stop) =
        start(ServerOptions { write_timeout, ..ServerOptions::default() }).await;
    let mut peers = Vec::new();
    for _ in 0..20 {
        let mut peer = TcpStream::connect(address).await.expect("a connection");
        peer.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("a request");
        peers.push(peer);
    }
    wait_for(&held, 20).await;
    wait_for(&held, 0).await;
}

// A caller disconnects in the middle of its response, whose resources must be released.
#[tokio::test]
async fn closes_early() {
    let (address, held, _stop) = start(ServerOptions::default()).await;
    for _ in 0..20 {
        let mut peer = TcpStream::connect(address).await.expect("a connection");
        peer.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("a request");
        let mut buf = [0; 1024];
        peer.read_exact(&mut buf).await.expect("part of the response");
    }
    wait_for(&held, 0).await;
}

// A caller sends its headers slowly or incompletely. The connection is closed after the header
// timeout, so that it does not hold a file handle forever.
#[tokio::test]
async fn partial_headers() {
    let header_timeout = Duration::from_millis(200);
    let (address, _held, _stop) =
        start(ServerOptions { header_timeout, ..ServerOptions::default() }).await;
    let mut peer = TcpStream::connect(address).await.expect("a connection");
    peer.write_all(b"GET / HTTP/1.1\r\nhost:").await.expect("a partial request");
    let mut buf = Vec::new();
    let read = timeout(Duration::from_secs(10), peer.read_to_end(&mut buf)).await;
    read.expect("the server closes the connection").expect("a clean end");
}

// A caller announces a body and sends only a part of it. The handler's own timeout ends the wait,
// and the response is released once the caller has disconnected.
#[tokio::test]
async fn partial_body() {
    let (address, held, _stop) = start(ServerOptions::default()).await;
    let mut peer = TcpStream::connect(address).await.expect("a connection");
    let head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\nhalf";
    peer.write_all(head).await.expect("a partial request");
    wait_for(&held, 1).await;
    drop(peer);
    wait_for(&held, 0).await;
}

// More peers connect than the server allows. Those above the limit are closed at once, and the
// others are still served.
#[tokio::test]
async fn too_many_connections() {
    let (address, held, _stop) =
        start(ServerOptions { max_connections: 2, ..ServerOptions::default() }).await;
    let mut open = Vec::new();
    for _ in 0..2 {
        let mut peer = TcpStream::connect(address).await.expect("a connection");
        peer.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("a request");
        open.push(peer);
    }
    wait_for(&held, 2).await;
    let mut third = TcpStream::connect(address).await.expect("a connection");
    let mut buf = [0; 1];
    let read = timeout(Duration::from_secs(10), third.read(&mut buf)).await;
    assert!(!matches!(read.expect("the server closes it"), Ok(1)));
}

// A node dies and all its callers connect to another one, faster than it accepts them. With a short
// backlog, the rest would be dropped silently and look like timeouts.
#[tokio::test]
async fn connection_burst() {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut connections = Vec::new();
    for number in 0..600 {
        let opened = timeout(Duration::from_secs(5), TcpStream::connect(address)).await;
        connections.push(opened.unwrap_or_else(|_| panic!("connection {number} was dropped")));
    }
    assert!(connections.iter().all(Result::is_ok));
}
