//! A limit of the bytes that may arrive before the head of a response.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use hyper::{Request, ext::on_informational};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The maximum size of the head of a response with all interim heads before it, in bytes. The first bytes of the body may
/// arrive with them.
const MAX_HEAD_BYTES: usize = 256 * 1_024;
/// The interim heads that may come before the head of a response. Each has to be parsed, which keeps other connections
/// waiting.
const MAX_INTERIM_HEADS: usize = 16;
/// The count of a connection that does not wait for a head.
const UNLIMITED: usize = usize::MAX;

/// A `HeadLimit` bounds the bytes that arrive on a connection while a response is awaited: interim heads may follow each
/// other without end.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    left: Arc<AtomicUsize>,
    interim_left: Arc<AtomicUsize>,
}

impl Default for HeadLimit {
    fn default() -> HeadLimit {
        HeadLimit {
            left: Arc::new(AtomicUsize::new(UNLIMITED)),
            interim_left: Arc::new(AtomicUsize::new(MAX_INTERIM_HEADS)),
        }
    }
}

impl HeadLimit {
    /// Begins to count: a request is about to be sent.
    pub fn begin<B>(&self, req: &mut Request<B>) {
        self.left.store(MAX_HEAD_BYTES, Ordering::Relaxed);
        self.interim_left.store(MAX_INTERIM_HEADS, Ordering::Relaxed);
        let limit = self.clone();
        on_informational(req, move |_| limit.take_interim());
    }

    // The next read fails if there are too many.
    fn take_interim(&self) {
        let left = self.interim_left.load(Ordering::Relaxed);
        match left.checked_sub(1) {
            Some(left) => self.interim_left.store(left, Ordering::Relaxed),
            None => self.left.store(0, Ordering::Relaxed),
        }
    }

    /// Ends to count: the head of its response has arrived.
    pub fn end(&self) {
        self.left.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Returns a stream that fails when the limit is exceeded.
    pub fn apply<S>(&self, stream: S) -> HeadLimited<S> {
        HeadLimited { stream, limit: self.clone() }
    }

    fn take(&self, count: usize) -> io::Result<()> {
        let left = self.left.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return Ok(());
        }
        let Some(left) = left.checked_sub(count) else {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the response head is too large",
            ));
        };
        self.left.store(left, Ordering::Relaxed);
        Ok(())
    }
}

/// A `HeadLimited` is a stream with a [`HeadLimit`].
#[derive(Debug)]
pub struct HeadLimited<S> {
    stream: S,
    limit: HeadLimit,
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.limit.take(buf.filled().len() - before))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimited<S> {
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
