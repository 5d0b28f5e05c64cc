//! The stream of a connection to a server.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::http::{HeadLimit, read_watch::ReadWatch};

/// A `ResponseStream` is the stream of a connection to a server, with a limit for heads and a watch of what is read.
#[derive(Debug)]
pub struct ResponseStream<S> {
    stream: S,
    head_limit: HeadLimit,
    reads: ReadWatch,
}

impl<S> ResponseStream<S> {
    /// Returns the stream of a connection.
    pub fn new(stream: S, head_limit: HeadLimit, reads: ReadWatch) -> ResponseStream<S> {
        ResponseStream { stream, head_limit, reads }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ResponseStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = &buf.filled()[before..];
        if read.is_empty() {
            self.reads.note_drained();
        } else {
            self.reads.note_read();
        }
        ready!(polled)?;
        Poll::Ready(self.head_limit.take(read))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ResponseStream<S> {
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
