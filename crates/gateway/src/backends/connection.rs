//! One connection to a backend server.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bulrushhall_external::http::{
    AbortiveStream, BoxError, CheckedBody, ClientConnection, ConnectOptions, SendFailure,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, header::HOST};
use tokio::{net::TcpStream, time::timeout};

use crate::{backends::ConnectionLife, clock};

/// The timeout for opening a connection: a hundred times the latency between two zones. TCP retransmits
/// a lost SYN only after a second; by then another backend server would have responded.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The timeout for a response to a request that a server does not run.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

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
    connection: ClientConnection,
    /// Whether it has carried an earlier request.
    pub reused: bool,
    life: Arc<ConnectionLife>,
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
        let connection = ClientConnection::begin(stream, address).await;
        let connection = connection.map_err(|_| OpenError::Unreachable)?;
        let life = Arc::new(ConnectionLife::new(connection.watch(), clock::now()));
        Ok(Connection { connection, reused: false, life, open: counted.keep() })
    }

    /// Returns its life.
    pub fn life(&self) -> &Arc<ConnectionLife> {
        &self.life
    }

    /// Sends a request and returns the response once its head has arrived.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<CheckedBody>, SendFailure> {
        let response = self.connection.send(req).await?;
        self.life.note_response(clock::now());
        Ok(response)
    }

    /// Returns whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.connection.is_ready()
    }

    /// Returns whether it has ended.
    pub fn is_closed(&self) -> bool {
        self.connection.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connection.abort();
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
    let stream = AbortiveStream::connect(address, connect_options()).await?;
    let mut connection = ClientConnection::begin(stream, address).await?;
    let req = Request::options("*").header(HOST, address.to_string());
    let sent = connection.send(req.body(Full::default())?).await;
    connection.abort();
    sent.map(drop).map_err(|_| io::Error::from(io::ErrorKind::InvalidData).into())
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
