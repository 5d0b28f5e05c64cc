//! One connection to a backend server.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

/// The longest time for opening a connection: a hundred times the way between two zones. A lost
/// opening packet is only sent again after a second, when another backend server would long have
/// answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// An `OpenError` tells why no connection could be opened; nothing was sent then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// Nobody answered in time, or the connection was refused.
    Unreachable,
    /// This node has as many connections there as it may have.
    Full,
}

/// A `Connection` is one open connection, closed at once where it is dropped.
///
/// hyper closes a connection whose answer nobody reads only once more of it arrives. A caller that
/// left would keep an engine at work until then; aborting the task that owns the socket closes it
/// at the moment of the drop.
#[derive(Debug)]
pub struct Connection {
    /// What sends requests on it.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether an earlier request was answered on it.
    pub reused: bool,
    task: AbortHandle,
    open: Arc<AtomicU32>,
}

impl Connection {
    /// Opens a connection, counted in `open`.
    pub async fn open(
        address: SocketAddr,
        open: Arc<AtomicU32>,
        most: u32,
    ) -> Result<Connection, OpenError> {
        if most <= open.load(Ordering::Relaxed) {
            return Err(OpenError::Full);
        }
        let counted = Counted::begin(open);
        let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = opened.map_err(|_| OpenError::Unreachable)?;
        let stream = stream.map_err(|_| OpenError::Unreachable)?;
        // Requests are written in one piece; waiting for more to send would only delay them.
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| OpenError::Unreachable)?;
        // How the connection ended is told by the request that was on it.
        let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Connection { sender, reused: false, task, open: counted.keep() })
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

/// Counts a connection that is being opened, also where the caller leaves meanwhile.
struct Counted {
    open: Option<Arc<AtomicU32>>,
}

impl Counted {
    fn begin(open: Arc<AtomicU32>) -> Counted {
        open.fetch_add(1, Ordering::Relaxed);
        Counted { open: Some(open) }
    }

    fn keep(mut self) -> Arc<AtomicU32> {
        self.open.take().unwrap_or_default()
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        if let Some(open) = &self.open {
            open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
