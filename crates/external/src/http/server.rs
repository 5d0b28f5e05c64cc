//! The server side of HTTP connections.

use std::{convert::Infallible, io, sync::Arc, time::Duration};

use bulrushhall_core::Event;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{net::TcpListener, sync::watch, task::JoinSet};
use tokio_io_timeout::TimeoutStream;

use crate::{
    BoxFuture,
    http::{Body, ClientAuth, Connection, Tls},
};

/// The pause after a failed accept, so that a lack of file handles does not become a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A `Handler` answers the requests of one port.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> BoxFuture<'static, Response<Body>>;

    /// Returns the longest time that a new connection may take to send the head of a request, or
    /// stay idle between two; none leaves it at what the options of the port say.
    fn header_timeout(&self) -> Option<Duration> {
        None
    }
}

/// `ServerOptions` bound what a connection may cost.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// The longest time that a request's headers may take to arrive.
    pub header_timeout: Duration,
    /// The largest number of headers.
    pub max_headers: usize,
    /// The largest buffer for headers, in bytes.
    pub max_buffer: usize,
    /// The longest time that a peer may leave written bytes unread.
    pub write_timeout: Duration,
    /// The most connections that are open at once; further ones are closed on arrival.
    pub max_connections: usize,
    /// How long open answers may go on after the stop.
    pub drain_timeout: Duration,
    /// How connections are protected and which clients are taken, if they are protected.
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

/// Serves a port until `stop` turns true, then lets open answers end.
///
/// Dropping the future closes every connection at once, as the death of the process would.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    options: ServerOptions,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
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
        // Peers that connect and do nothing would otherwise take all file handles.
        if options.max_connections <= connections.len() {
            continue;
        }
        // Tokens are small; without this they would wait for the acknowledgement of the last one.
        let _ = stream.set_nodelay(true);
        // A peer that never reads would hold its answer for ever. Its connection fails once
        // nothing could be written for this long, which lets go of everything tied to it.
        let mut stream = TimeoutStream::new(stream);
        stream.set_write_timeout(Some(options.write_timeout));
        let stream = Box::pin(stream);
        let answering = Arc::clone(&handler);
        let service = service_fn(move |mut req: Request<Incoming>| {
            req.extensions_mut().insert(remote);
            let answer = Arc::clone(&answering).handle(req);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let watcher = graceful.watcher();
        let (mut builder, tls) = (builder.clone(), options.tls.clone());
        if let Some(timeout) = handler.header_timeout() {
            builder.header_read_timeout(timeout);
        }
        connections.spawn(async move {
            // The handshake is part of the connection's own task: a client that never ends it must
            // not keep others from connecting.
            let stream = match protect(stream, tls).await {
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

async fn protect(
    stream: impl Connection,
    tls: Option<(Arc<Tls>, ClientAuth)>,
) -> io::Result<Box<dyn Connection>> {
    match tls {
        Some((tls, client_auth)) => tls.accept(stream, client_auth).await,
        None => Ok(Box::new(stream)),
    }
}
