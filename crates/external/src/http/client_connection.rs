//! A connection to a server, whose responses are checked.

use std::{error::Error as _, future::poll_fn, io, net::SocketAddr, pin::Pin};

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::{
    Request, Response,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    task::JoinHandle,
};

use crate::http::{
    BodyEnd, CheckedBody, ConnectionWatch, HeadLimit, ResponseFault, read_watch::ReadWatch,
    response_stream::ResponseStream,
};

/// The size of the read buffer of a connection, which the head of a response has to fit in, in bytes.
const MAX_BUFFER: usize = 64 * 1_024;

/// A `SendFailure` is the reason why a request got no response.
#[derive(Debug)]
pub enum SendFailure {
    /// Nothing of the request was written.
    Unsent(Box<Request<Full<Bytes>>>),
    /// What arrived can't be used.
    Malformed(ResponseFault),
    /// The connection ended.
    Closed,
}

/// A `ClientConnection` is an HTTP connection to a server.
///
/// All responses of servers and nodes are read from one, and pass the check of [`BodyEnd::of`].
#[derive(Debug)]
pub struct ClientConnection {
    sender: SendRequest<Full<Bytes>>,
    server: SocketAddr,
    head_limit: HeadLimit,
    reads: ReadWatch,
    /// The task that owns the stream.
    task: JoinHandle<()>,
}

impl ClientConnection {
    /// Returns an HTTP connection over a stream that is connected to a server.
    #[expect(clippy::disallowed_methods, reason = "this is the type that checks the responses")]
    pub async fn begin(
        stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        server: SocketAddr,
    ) -> Result<ClientConnection, hyper::Error> {
        let (head_limit, reads) = (HeadLimit::default(), ReadWatch::default());
        let stream = ResponseStream::new(stream, head_limit.clone(), reads.clone());
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(MAX_BUFFER).handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await?;
        let task = tokio::spawn(run(connection, server, reads.clone()));
        Ok(ClientConnection { sender, server, head_limit, reads, task })
    }

    /// Sends a request and returns the response once its head has arrived.
    pub async fn send(
        &mut self,
        mut req: Request<Full<Bytes>>,
    ) -> Result<Response<CheckedBody>, SendFailure> {
        let method = req.method().clone();
        self.head_limit.begin(&mut req);
        let request = self.reads.begin();
        let sent = self.sender.try_send_request(req).await;
        self.head_limit.end();
        let (head, body) = match sent {
            Ok(response) => response.into_parts(),
            Err(mut error) => {
                return Err(match error.take_message() {
                    Some(unsent) => SendFailure::Unsent(Box::new(unsent)),
                    None if is_malformed(error.error()) => self.refuse(ResponseFault::Head),
                    None => SendFailure::Closed,
                });
            }
        };
        let end = BodyEnd::of(&head, &method).map_err(|fault| self.refuse(fault))?;
        let mut body = CheckedBody::new(body, end, self.server, (self.reads.clone(), request));
        // A body without bytes is not polled by everyone who reads it.
        if end.is_empty() {
            body.check_empty().await.map_err(|fault| self.refuse(fault))?;
        }
        Ok(Response::from_parts(head, body))
    }

    /// Returns whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns a watch of the connection.
    pub fn watch(&self) -> ConnectionWatch {
        ConnectionWatch::new(self.reads.clone())
    }

    /// Waits until a request can be sent.
    pub async fn ready(&mut self) -> Result<(), hyper::Error> {
        self.sender.ready().await
    }

    /// Resets the connection.
    pub fn abort(&self) {
        self.task.abort();
    }

    /// Resets the connection and waits until that is done.
    pub async fn reset(mut self) {
        self.task.abort();
        // The error states that the task was aborted.
        let _ = (&mut self.task).await;
    }

    fn refuse(&self, fault: ResponseFault) -> SendFailure {
        fault.note(self.server);
        self.task.abort();
        SendFailure::Malformed(fault)
    }
}

/// A `ConnectionGuard` notes the end of a connection whose task is aborted.
struct ConnectionGuard {
    reads: ReadWatch,
    has_ended: bool,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if !self.has_ended {
            self.reads.note_aborted();
        }
    }
}

async fn run<S>(
    mut connection: http1::Connection<TokioIo<ResponseStream<S>>, Full<Bytes>>,
    server: SocketAddr,
    reads: ReadWatch,
) where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let mut guard = ConnectionGuard { reads, has_ended: false };
    // The request on the connection reports its error.
    let _ = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
    let parts = connection.into_parts();
    let mut stream = parts.io.into_inner();
    let has_bytes = !parts.read_buf.is_empty() || has_unread(&mut stream);
    guard.has_ended = true;
    if guard.reads.note_ended(has_bytes) {
        ResponseFault::BytesAfterEnd.note(server);
    }
    let _ = stream.shutdown().await;
}

// Returns whether the stream has bytes that were not read; a connection that ends after a response does not look for them.
fn has_unread(stream: &mut (impl AsyncRead + Unpin)) -> bool {
    let mut byte = [0];
    matches!(Pin::new(stream).read(&mut byte).now_or_never(), Some(Ok(1..)))
}

// Returns whether the bytes that arrived are no response, or too long a head of one.
fn is_malformed(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    let is_too_long = source.is_some_and(|source| source.kind() == io::ErrorKind::InvalidData);
    error.is_parse() || error.is_parse_too_large() || is_too_long
}
