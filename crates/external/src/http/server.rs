//! The HTTP server.

use std::{convert::Infallible, io, sync::Arc, time::Duration};

use bulrushhall_core::Event;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{rt::TokioIo, server::graceful::GracefulShutdown};
use tokio::{net::TcpListener, sync::watch, task::JoinSet};
use tokio_io_timeout::TimeoutStream;

use crate::{
    BoxFuture,
    http::{Body, ClientAuth, Connection, Tls, head_timer::HeadTimer},
};

/// The pause after a failed accept, which prevents a busy loop when file handles run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A `Handler` responds to the requests of one port.
pub trait Handler: Send + Sync + 'static {
    /// Responds to one request.
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>>;

    /// Returns the time limit for the headers of a request, including the idle time before them;
    /// `None` keeps [`ServerOptions::header_timeout`]. A longer one holds for open connections as well.
    fn header_timeout(&self) -> Option<Duration> {
        None
    }
}

/// `ServerOptions` are the limits and TLS settings of the connections of one port.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// The time limit for the headers of a request.
    pub header_timeout: Duration,
    /// The maximum number of headers.
    pub max_headers: usize,
    /// The maximum size of the buffer for headers, in bytes.
    pub max_buffer: usize,
    /// The time limit for a peer to accept written bytes.
    pub write_timeout: Duration,
    /// The maximum number of open connections; further ones are closed at once.
    pub max_connections: usize,
    /// The time limit for in-flight responses after the stop.
    pub drain_timeout: Duration,
    /// The TLS configuration and client authentication, if connections use TLS.
    pub tls: Option<(Arc<Tls>, ClientAuth)>,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions {
            header_timeout: Duration::from_secs(10),
            max_headers: 64,
            max_buffer: 64 * 1024,
            write_timeout: Duration::from_secs(30),
            max_connections: 16_384,
            drain_timeout: Duration::from_secs(30),
            tls: None,
        }
    }
}

/// Serves a port until `stop` becomes true, then drains the in-flight responses.
///
/// Dropping the future closes all connections at once, as a crash of the process would.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    options: ServerOptions,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let mut builder = http1::Builder::new();
    builder
        .timer(HeadTimer::new(Arc::clone(&handler), options.header_timeout))
        .header_read_timeout(options.header_timeout)
        .max_headers(options.max_headers)
        .max_buf_size(options.max_buffer);

    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, remote)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Peers that connect and do nothing would otherwise use up all file handles.
        if options.max_connections <= connections.len() {
            continue;
        }
        // Tokens are small; without this, each would wait for the acknowledgement of the previous one.
        let _ = stream.set_nodelay(true);
        // A peer that never reads would keep its response in memory forever. Its connection fails
        // once nothing could be written for this long, which releases all its resources.
        let mut stream = TimeoutStream::new(stream);
        stream.set_write_timeout(Some(options.write_timeout));
        let stream = Box::pin(stream);
        let request_handler = Arc::clone(&handler);
        let service = service_fn(move |mut req: Request<Incoming>| {
            req.extensions_mut().insert(remote);
            let response = Arc::clone(&request_handler).handle(req);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let watcher = graceful.watcher();
        let (builder, tls) = (builder.clone(), options.tls.clone());
        connections.spawn(async move {
            // The handshake runs in the task of the connection: a client that never completes it must
            // not keep others from connecting.
            let stream = match start_tls(stream, tls).await {
                Ok(stream) => TokioIo::new(stream),
                Err(error) => {
                    tracing::debug!(event = Event::ConnectionFailed.number(), %error);
                    return;
                }
            };
            let connection = watcher.watch(builder.serve_connection(stream, service));
            if let Err(error) = connection.await {
                tracing::debug!(event = Event::ConnectionFailed.number(), %error);
            }
        });
    }

    drop(listener);
    let _ = tokio::time::timeout(options.drain_timeout, graceful.shutdown()).await;
}

async fn start_tls(
    stream: impl Connection,
    tls: Option<(Arc<Tls>, ClientAuth)>,
) -> io::Result<Box<dyn Connection>> {
    match tls {
        Some((tls, client_auth)) => tls.accept(stream, client_auth).await,
        None => Ok(Box::new(stream)),
    }
}
