//! One connection to a backend server.

use std::{
    error::Error as _,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bulrushhall_external::http::{
    AbortiveStream, BodyEnd, BoxError, ConnectOptions, HeadLimit, ResponseFault,
};
use bytes::Bytes;
use http_body_util::{Empty, Full};
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
    header::HOST,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

/// The timeout for opening a connection: a hundred times the latency between two zones. TCP retransmits
/// a lost SYN only after a second; by then another backend server would have responded.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The timeout for a response to a request that a server does not run.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// The size of the read buffer of a connection, which the head of a response has to fit in, in bytes.
const MAX_BUFFER: usize = 64 * 1_024;

/// An `OpenError` is the reason why no connection could be opened; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// The connection was refused or timed out.
    Unreachable,
    /// This node has reached its maximum number of connections to the server.
    Full,
}

/// A `Connection` is one open connection, which is reset as soon as it is dropped, so that a request that was
/// given up does not arrive later.
///
/// If a response is not read to its end, hyper closes the connection only when more of it arrives. After
/// a caller's disconnect, an engine would keep working until then. Aborting the task that owns the socket
/// closes it at once.
#[derive(Debug)]
pub struct Connection {
    /// The sender of requests.
    pub sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    /// The limit of the bytes that arrive before the head of a response.
    pub head_limit: HeadLimit,
    /// Whether it has carried an earlier request.
    pub reused: bool,
    task: AbortHandle,
    open: Arc<AtomicU32>,
}

impl Connection {
    /// Opens a connection, which is counted in `open`; at most `max` may be open.
    pub async fn open(
        address: SocketAddr,
        open: Arc<AtomicU32>,
        max: u32,
    ) -> Result<Connection, OpenError> {
        if max <= open.load(Ordering::Relaxed) {
            return Err(OpenError::Full);
        }
        let counted = OpeningCount::begin(open);
        let opened = AbortiveStream::connect(address, connect_options()).await;
        let stream = opened.map_err(|_| OpenError::Unreachable)?;
        let head_limit = HeadLimit::default();
        let mut builder = http1::Builder::new();
        let io = TokioIo::new(head_limit.apply(stream));
        let handshake = builder.max_buf_size(MAX_BUFFER).handshake(io).await;
        let (sender, connection) = handshake.map_err(|_| OpenError::Unreachable)?;
        // The request on the connection reports its error.
        let task = tokio::spawn(async move {
            let mut connection = connection;
            let _ = std::future::poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
            if !connection.into_parts().read_buf.is_empty() {
                ResponseFault::BytesAfterEnd.note(address);
            }
        });
        let task = task.abort_handle();
        Ok(Connection { sender, address, head_limit, reused: false, task, open: counted.keep() })
    }

    /// Sends a request and returns the response once its head has arrived.
    pub async fn send(
        &mut self,
        mut req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        let method = req.method().clone();
        self.head_limit.begin(&mut req);
        let sent = self.sender.try_send_request(req).await;
        self.head_limit.end();
        let (head, body) = sent?.into_parts();
        if let Err(fault) = BodyEnd::of(&head, &method) {
            fault.note(self.address);
        }
        Ok(Response::from_parts(head, body))
    }

    /// Returns whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An `OpeningCount` counts a connection while it is being opened, even if the future is dropped meanwhile.
struct OpeningCount {
    open: Option<Arc<AtomicU32>>,
}

impl OpeningCount {
    fn begin(open: Arc<AtomicU32>) -> OpeningCount {
        open.fetch_add(1, Ordering::Relaxed);
        OpeningCount { open: Some(open) }
    }

    fn keep(mut self) -> Arc<AtomicU32> {
        self.open.take().unwrap_or_default()
    }
}

impl Drop for OpeningCount {
    fn drop(&mut self) {
        if let Some(open) = &self.open {
            open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Returns whether the bytes that arrived are no response, or too long a head of one.
pub fn is_malformed(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    let is_too_long = source.is_some_and(|source| source.kind() == io::ErrorKind::InvalidData);
    error.is_parse() || error.is_parse_too_large() || is_too_long
}

/// A `ListenerState` is whether anything accepts connections at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerState {
    /// A connection was opened.
    Accepting,
    /// The connection was refused: the VM runs, and nothing listens.
    Refusing,
    /// No response arrived in time.
    Unknown,
}

/// Returns whether a server responds to an `OPTIONS *` request, the no-operation of HTTP, with any status.
pub async fn responds(address: SocketAddr) -> bool {
    timeout(PING_TIMEOUT, ping(address)).await.is_ok_and(|pinged| pinged.is_ok())
}

fn connect_options() -> ConnectOptions {
    ConnectOptions { connect_timeout: CONNECT_TIMEOUT, ..ConnectOptions::default() }
}

async fn ping(address: SocketAddr) -> Result<(), BoxError> {
    let head_limit = HeadLimit::default();
    let stream = AbortiveStream::connect(address, connect_options()).await?;
    let io = TokioIo::new(head_limit.apply(stream));
    let mut builder = http1::Builder::new();
    let (mut sender, connection) = builder.max_buf_size(MAX_BUFFER).handshake(io).await?;
    tokio::spawn(connection);
    let req = Request::options("*").header(HOST, address.to_string());
    let mut req = req.body(Empty::<Bytes>::new())?;
    head_limit.begin(&mut req);
    sender.send_request(req).await?;
    Ok(())
}

/// Opens a connection to an address and closes it again.
pub async fn listener_state(address: SocketAddr) -> ListenerState {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ListenerState::Accepting,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            ListenerState::Refusing
        }
        _ => ListenerState::Unknown,
    }
}
