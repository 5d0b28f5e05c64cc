//! The TCP stream of an accepted connection, which can end with a reset.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::http::ConnectionState;

/// An `AcceptedStream` is reset instead of closed if its connection has broken off a response whose end only the end of the
/// connection would mark.
#[derive(Debug)]
pub struct AcceptedStream {
    stream: TcpStream,
    state: Arc<ConnectionState>,
}

impl AcceptedStream {
    /// Returns the stream of a connection with this state.
    pub fn new(stream: TcpStream, state: Arc<ConnectionState>) -> AcceptedStream {
        AcceptedStream { stream, state }
    }
}

impl Drop for AcceptedStream {
    fn drop(&mut self) {
        if self.state.is_broken() {
            // A connection that has failed already needs no reset.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for AcceptedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for AcceptedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.state.is_broken() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
