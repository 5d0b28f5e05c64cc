//! Outgoing TCP connections whose unacknowledged bytes are discarded when they end.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::timeout,
};

use crate::http::send_permit::WriteGate;

/// `ConnectOptions` are the time limits of an outgoing connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectOptions {
    /// The time limit for opening it.
    pub connect_timeout: Duration,
    /// The time for which the kernel retransmits bytes that the server does not acknowledge, from the first
    /// retransmission on (`TCP_USER_TIMEOUT`); with `None`, the time of the system, which is many minutes.
    pub retransmission_timeout: Option<Duration>,
}

impl Default for ConnectOptions {
    fn default() -> Self {
        ConnectOptions { connect_timeout: Duration::from_millis(800), retransmission_timeout: None }
    }
}

/// An `AbortiveStream` is an outgoing TCP connection that is reset when it is dropped or its process ends.
///
/// After an orderly close the kernel retransmits what was written for many minutes, so that a request could
/// arrive long after its sender has given it up. A reset discards it. The client of a connection has nothing
/// to lose by that: a request whose response has arrived was received completely, and any other one is given
/// up.
#[derive(Debug)]
pub struct AbortiveStream {
    stream: TcpStream,
    gate: WriteGate,
}

impl AbortiveStream {
    /// Opens a connection.
    pub async fn connect(
        address: SocketAddr,
        options: ConnectOptions,
    ) -> io::Result<AbortiveStream> {
        let stream = timeout(options.connect_timeout, TcpStream::connect(address)).await??;
        // Requests are written in one piece; Nagle's algorithm would only delay them.
        let _ = stream.set_nodelay(true);
        stream.set_zero_linger()?;
        SockRef::from(&stream).set_tcp_user_timeout(options.retransmission_timeout)?;
        Ok(AbortiveStream { stream, gate: WriteGate::default() })
    }

    /// Returns the gate that limits its writes.
    pub(crate) fn gate(&self) -> WriteGate {
        self.gate.clone()
    }
}

impl AsyncRead for AbortiveStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for AbortiveStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.check()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    // No FIN is sent before the reset: the client of a half-closed connection may still wait for a response.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.gate.check()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
