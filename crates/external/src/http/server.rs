//! The HTTP server.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use bulrushhall_core::Event;
use hyper::{
    Request, Response, StatusCode, Version,
    body::{Body as _, Incoming},
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::{
    rt::TokioIo,
    server::graceful::{GracefulShutdown, Watcher},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};
use tokio_io_timeout::TimeoutStream;

use crate::{
    BoxFuture,
    http::{
        Body, BodyBudget, ClientAuth, CloseReason, Connection, Tls,
        accepted_stream::AcceptedStream,
        client_stream::ClientStream,
        connections::{Connections, OpenConnection},
        empty,
        framing::Framing,
        head_timer::HeadTimer,
        served_body::ServedBody,
    },
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

    /// Counts a connection that was closed to stay within the limits of the port.
    fn note_closed(&self, _reason: CloseReason) {}
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
    /// The maximum number of open connections; another one takes the place of the one that has waited the longest for its
    /// client.
    pub max_connections: usize,
    /// The memory for long heads.
    pub bodies: BodyBudget,
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
            bodies: BodyBudget::default(),
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

    let open = Connections::new(options.max_connections);
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
        let (connection, closed) = open.add();
        if let Some(reason) = closed {
            tracing::debug!(event = Event::ConnectionFailed.number(), reason = reason.as_str());
            handler.note_closed(reason);
        }
        let Some(connection) = connection else { continue };
        // Tokens are small; without this, each would wait for the acknowledgement of the previous one.
        let _ = stream.set_nodelay(true);
        let accepted = Accepted {
            stream,
            remote,
            connection,
            handler: Arc::clone(&handler),
            options: options.clone(),
        };
        let (builder, graceful) = (builder.clone(), graceful.watcher());
        connections.spawn(async move {
            let state = Arc::clone(accepted.connection.state());
            tokio::select! {
                () = accepted.serve(builder, graceful) => {}
                () = state.closing() => {}
            }
        });
    }

    drop(listener);
    let _ = tokio::time::timeout(options.drain_timeout, graceful.shutdown()).await;
}

/// A connection that was accepted.
struct Accepted {
    stream: TcpStream,
    remote: SocketAddr,
    connection: OpenConnection,
    handler: Arc<dyn Handler>,
    options: ServerOptions,
}

impl Accepted {
    async fn serve(self, builder: http1::Builder, graceful: Watcher) {
        let Accepted { stream, remote, connection, handler, options } = self;
        // A peer that never reads would keep its response in memory forever. Its connection fails
        // once nothing could be written for this long, which releases all its resources.
        let stream = AcceptedStream::new(stream, Arc::clone(connection.state()));
        let mut stream = TimeoutStream::new(stream);
        stream.set_write_timeout(Some(options.write_timeout));
        // The handshake runs in the task of the connection: a client that never completes it must
        // not keep others from connecting.
        let stream = match start_tls(Box::pin(stream), options.tls).await {
            Ok(stream) => stream,
            Err(error) => {
                tracing::debug!(event = Event::ConnectionFailed.number(), %error);
                return;
            }
        };
        let state = Arc::clone(connection.state());
        let memory = (options.bodies, options.max_buffer);
        let stream = ClientStream::new(stream, Arc::clone(&state), Arc::clone(&handler), memory);
        let service = service_fn(move |mut req: Request<Incoming>| {
            let request = state.begin_request();
            if req.body().is_end_stream() {
                state.begin_serving();
            }
            req.extensions_mut().insert(remote);
            req.extensions_mut().insert(Arc::clone(&state));
            let version = req.version();
            let is_accepted = Framing::of(version, req.headers()).is_ok();
            let response = is_accepted.then(|| Arc::clone(&handler).handle(req));
            async move {
                let response = match response {
                    Some(response) => response.await,
                    None => misframed(),
                };
                // A response of HTTP/1.0 has no chunks.
                let is_measured = response.headers().contains_key(CONTENT_LENGTH)
                    || response.body().size_hint().exact().is_some();
                let ends_with_connection = version < Version::HTTP_11 && !is_measured;
                let body = |body| ServedBody::new(body, request, ends_with_connection);
                Ok::<_, Infallible>(response.map(body))
            }
        });
        let serving = builder.serve_connection(TokioIo::new(stream), service);
        if let Err(error) = graceful.watch(serving).await {
            tracing::debug!(event = Event::ConnectionFailed.number(), %error);
        }
    }
}

// Where a body ends is not certain, so nothing after it is read.
fn misframed() -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
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
