//! A limit of the bytes that may arrive before the head of a response.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
};

use hyper::{Request, ext::on_informational};

use crate::http::head_lines::HeadLines;

/// The maximum size of the head of a response with all interim heads before it, in bytes. The first bytes of the body may
/// arrive with them.
const MAX_HEAD_BYTES: usize = 256 * 1_024;
/// The interim heads that may come before the head of a response. Each has to be parsed, which keeps other connections
/// waiting.
const MAX_INTERIM_HEADS: usize = 16;
/// The count of a connection that does not wait for a head.
const UNLIMITED: usize = usize::MAX;

/// A `HeadLimit` bounds the bytes that arrive on a connection while a response is awaited, and checks their lines: interim
/// heads may follow each other without end.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    left: Arc<AtomicUsize>,
    interim_left: Arc<AtomicUsize>,
    lines: Arc<Mutex<HeadLines>>,
}

impl Default for HeadLimit {
    fn default() -> HeadLimit {
        HeadLimit {
            left: Arc::new(AtomicUsize::new(UNLIMITED)),
            interim_left: Arc::new(AtomicUsize::new(MAX_INTERIM_HEADS)),
            lines: Arc::default(),
        }
    }
}

impl HeadLimit {
    /// Begins to count: a request is about to be sent.
    pub fn begin<B>(&self, req: &mut Request<B>) {
        self.left.store(MAX_HEAD_BYTES, Ordering::Relaxed);
        self.interim_left.store(MAX_INTERIM_HEADS, Ordering::Relaxed);
        *self.lines.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = HeadLines::default();
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

    /// Notes that bytes have arrived; returns an error if they are too many, or in lines that no head has.
    pub(super) fn take(&self, bytes: &[u8]) -> io::Result<()> {
        let left = self.left.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return Ok(());
        }
        let Some(left) = left.checked_sub(bytes.len()) else {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the response head is too large",
            ));
        };
        self.left.store(left, Ordering::Relaxed);
        self.lines.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(bytes)
    }
}
