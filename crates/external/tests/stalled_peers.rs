//! Peers that stop half-way leave nothing behind on the server.

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

/// Answers without end and counts the answers that are still held.
#[derive(Default)]
struct Endless {
    held: Arc<AtomicUsize>,
}

struct Held(Arc<AtomicUsize>);

impl Held {
    fn new(held: &Arc<AtomicUsize>) -> Held {
        held.fetch_add(1, Ordering::SeqCst);
        Held(Arc::clone(held))
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for Endless {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let held = Held::new(&self.held);
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
    let until = Instant::now() + Duration::from_secs(10);
    while held.load(Ordering::SeqCst) != count {
        assert!(Instant::now() < until, "still {} held", held.load(Ordering::SeqCst));
        sleep(Duration::from_millis(5)).await;
    }
}

// A caller's machine hangs after it has sent its request: its receive window fills and nothing
// more can be written. Without a limit each such caller would hold an answer, its buffers and a
// file handle until the node is restarted.
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

// A caller goes away in the middle of its answer. Whatever was held for it has to go as well.
#[tokio::test]
async fn closes_early() {
    let (address, held, _stop) = start(ServerOptions::default()).await;
    for _ in 0..20 {
        let mut peer = TcpStream::connect(address).await.expect("a connection");
        peer.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("a request");
        let mut buf = [0; 1024];
        peer.read_exact(&mut buf).await.expect("some of the answer");
    }
    wait_for(&held, 0).await;
}

// A caller sends its headers slowly or not to the end. The connection is closed after the time
// that headers may take, so that it does not hold a file handle for ever.
#[tokio::test]
async fn half_headers() {
    let header_timeout = Duration::from_millis(200);
    let (address, _held, _stop) =
        start(ServerOptions { header_timeout, ..ServerOptions::default() }).await;
    let mut peer = TcpStream::connect(address).await.expect("a connection");
    peer.write_all(b"GET / HTTP/1.1\r\nhost:").await.expect("half a request");
    let mut buf = Vec::new();
    let read = timeout(Duration::from_secs(10), peer.read_to_end(&mut buf)).await;
    read.expect("the server closes the connection").expect("a clean end");
}

// A caller announces a body and sends only half of it. The handler's own limit ends the wait,
// and the answer is let go once the caller has gone.
#[tokio::test]
async fn half_body() {
    let (address, held, _stop) = start(ServerOptions::default()).await;
    let mut peer = TcpStream::connect(address).await.expect("a connection");
    let head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\nhalf";
    peer.write_all(head).await.expect("half a request");
    wait_for(&held, 1).await;
    drop(peer);
    wait_for(&held, 0).await;
}

// More peers connect than the server may hold. Those above the limit are closed at once and the
// others are still served.
#[tokio::test]
async fn too_many_connections() {
    let (address, held, _stop) =
        start(ServerOptions { max_connections: 2, ..ServerOptions::default() }).await;
    let mut kept = Vec::new();
    for _ in 0..2 {
        let mut peer = TcpStream::connect(address).await.expect("a connection");
        peer.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("a request");
        kept.push(peer);
    }
    wait_for(&held, 2).await;
    let mut third = TcpStream::connect(address).await.expect("a connection");
    let mut buf = [0; 1];
    let read = timeout(Duration::from_secs(10), third.read(&mut buf)).await;
    assert!(!matches!(read.expect("the server closes it"), Ok(1)));
}

// A node dies and its callers all connect to another one within moments, faster than it accepts
// them. Were the queue of unaccepted connections short, the rest would be dropped without a word
// and be taken for time-outs.
#[tokio::test]
async fn connection_burst() {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut waiting = Vec::new();
    for number in 0..600 {
        let opened = timeout(Duration::from_secs(5), TcpStream::connect(address)).await;
        waiting.push(opened.unwrap_or_else(|_| panic!("connection {number} was dropped")));
    }
    assert!(waiting.iter().all(Result::is_ok));
}
