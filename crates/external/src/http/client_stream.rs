//! The stream of an accepted connection, whose reads are bounded.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bulrushhall_core::Event;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::http::{BodyBudget, BodyRoom, CloseReason, ConnectionState, Handler};

/// The largest read, in bytes. hyper doubles the buffer of a connection when a read fills it, and begins with 8 KiB.
const MAX_READ: usize = 8 * 1_024 - 1;
/// The part of a head that needs no room, in bytes.
const SMALL_HEAD: usize = 16 * 1_024;

/// A `ClientStream` is the stream of an accepted connection. Reads are small, so that the buffer of a connection stays so,
/// and a long head needs room like a body.
pub struct ClientStream<S> {
    stream: S,
    state: Arc<ConnectionState>,
    handler: Arc<dyn Handler>,
    bodies: BodyBudget,
    /// The room that a head needs, in bytes.
    head_room: usize,
    head: Head,
}

/// What has been read since the last head ended.
#[derive(Default)]
struct Head {
    number: usize,
    bytes: usize,
    room: Option<BodyRoom>,
}

impl<S> ClientStream<S> {
    /// Returns the stream of a connection whose heads have at most `max_head` bytes.
    pub fn new(
        stream: S,
        state: Arc<ConnectionState>,
        handler: Arc<dyn Handler>,
        (bodies, max_head): (BodyBudget, usize),
    ) -> ClientStream<S> {
        let head_room = max_head.saturating_sub(SMALL_HEAD);
        ClientStream { stream, state, handler, bodies, head_room, head: Head::default() }
    }

    // While a request is served, what is read belongs to its body, which has room of its own.
    fn note_read(&mut self, bytes: usize) -> io::Result<()> {
        let number = self.state.requests();
        if self.head.number != number {
            self.head = Head { number, ..Head::default() };
        }
        if self.state.is_in_request() {
            return Ok(());
        }
        self.head.bytes = self.head.bytes.saturating_add(bytes);
        if self.head.bytes <= SMALL_HEAD || self.head.room.is_some() {
            return Ok(());
        }
        self.head.room = self.bodies.try_reserve(self.head_room);
        if self.head.room.is_none() {
            let reason = CloseReason::NoMemory;
            tracing::debug!(event = Event::ConnectionFailed.number(), reason = reason.as_str());
            self.handler.note_closed(reason);
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        Ok(())
    }

    fn note_written<T>(&self, written: &Poll<io::Result<T>>) {
        self.state.note_written(written.is_ready());
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ClientStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let size = buf.remaining().min(MAX_READ);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(size));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        Poll::Ready(self.note_read(read))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ClientStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_written(&written);
        written
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
