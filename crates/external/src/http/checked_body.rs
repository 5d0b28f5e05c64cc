//! The body of a response, whose end is checked before it is returned.

use std::{
    collections::VecDeque,
    error, fmt,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::{
    BoxFuture,
    http::{
        BodyEnd, ResponseFault,
        framing_scan::{FramingScan, ScanResult},
        read_watch::{ReadWatch, RequestNumber},
    },
};

/// The bytes that are kept back until it is known whether a body begins with framing.
const MAX_KEPT_BYTES: usize = 64 * 1_024;

/// A `ResponseError` states why a body broke off.
#[derive(Debug)]
pub enum ResponseError {
    /// The connection failed, or its bytes are no body.
    Connection(hyper::Error),
    /// The body is not that of the server.
    Fault(ResponseFault),
}

impl ResponseError {
    /// Returns whether the server has sent what it can't have meant, rather than failed.
    pub fn is_fault(&self) -> bool {
        matches!(self, ResponseError::Fault(_))
    }
}

impl fmt::Display for ResponseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ResponseError::Connection(error) => error.fmt(f),
            ResponseError::Fault(fault) => fault.fmt(f),
        }
    }
}

impl error::Error for ResponseError {}

/// A `CheckedBody` is the body of a response.
///
/// Its last bytes are returned only when it is known that nothing stands behind them. A body that ends with its connection is
/// an error if it begins with framing, which its head should have announced.
pub struct CheckedBody {
    body: Incoming,
    end: BodyEnd,
    server: SocketAddr,
    reads: ReadWatch,
    request: RequestNumber,
    /// The check of the end.
    check: Option<BoxFuture<'static, bool>>,
    /// What is returned after the check, or when it is known that the body does not begin with framing.
    kept: VecDeque<Bytes>,
    kept_bytes: usize,
    scan: FramingScan,
    /// Whether what is kept may be returned before the end.
    is_released: bool,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    /// What is kept is the rest of the body.
    Complete,
    Failed,
}

impl CheckedBody {
    pub(super) fn new(
        body: Incoming,
        end: BodyEnd,
        server: SocketAddr,
        (reads, request): (ReadWatch, RequestNumber),
    ) -> CheckedBody {
        CheckedBody {
            body,
            end,
            server,
            reads,
            request,
            check: None,
            kept: VecDeque::new(),
            kept_bytes: 0,
            scan: FramingScan::default(),
            is_released: false,
            state: State::Open,
        }
    }

    /// Returns what marks its end.
    pub fn end(&self) -> BodyEnd {
        self.end
    }

    /// Waits until the end of a body without bytes is checked.
    pub(super) async fn check_empty(&mut self) -> Result<(), ResponseFault> {
        if !self.reads.clone().ends_cleanly(self.request).await {
            self.state = State::Failed;
            return Err(ResponseFault::BytesAfterEnd);
        }
        self.state = State::Complete;
        Ok(())
    }

    fn keep(&mut self, bytes: Bytes) {
        self.kept_bytes += bytes.len();
        self.kept.push_back(bytes);
    }

    fn take_kept(&mut self) -> Option<Bytes> {
        let bytes = self.kept.pop_front()?;
        self.kept_bytes -= bytes.len();
        Some(bytes)
    }

    fn begin_check(&mut self) {
        self.check = Some(Box::pin(self.reads.clone().ends_cleanly(self.request)));
    }

    fn fail(&mut self, fault: ResponseFault) -> ResponseError {
        fault.note(self.server);
        self.kept.clear();
        self.state = State::Failed;
        ResponseError::Fault(fault)
    }

    // Returns what may be returned now; none if more of the body has to be read first.
    fn accept(&mut self, frame: Frame<Bytes>) -> Result<Option<Frame<Bytes>>, ResponseError> {
        let bytes = match (self.end, frame.into_data()) {
            (BodyEnd::Length(_), Ok(bytes)) if self.body.is_end_stream() => {
                self.keep(bytes);
                self.begin_check();
                return Ok(None);
            }
            (BodyEnd::ConnectionEnd, Ok(bytes)) => bytes,
            (_, Ok(bytes)) => return Ok(Some(Frame::data(bytes))),
            (_, Err(frame)) => return Ok(Some(frame)),
        };
        let scanned = self.scan.push(&bytes);
        self.keep(bytes);
        match scanned {
            ScanResult::Framing => Err(self.fail(ResponseFault::FramingInBody)),
            ScanResult::Undecided if self.kept_bytes < MAX_KEPT_BYTES => Ok(None),
            ScanResult::Undecided | ScanResult::Plain => {
                self.is_released = true;
                Ok(None)
            }
        }
    }
}

impl Body for CheckedBody {
    type Data = Bytes;
    type Error = ResponseError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseError>>> {
        loop {
            if let Some(check) = &mut self.check {
                let is_clean = ready!(check.as_mut().poll(cx));
                self.check = None;
                if !is_clean {
                    return Poll::Ready(Some(Err(self.fail(ResponseFault::BytesAfterEnd))));
                }
                self.state = State::Complete;
            }
            match self.state {
                State::Open if self.is_released && !self.kept.is_empty() => {
                    return Poll::Ready(self.take_kept().map(|bytes| Ok(Frame::data(bytes))));
                }
                State::Open => {}
                State::Complete => {
                    return Poll::Ready(self.take_kept().map(|bytes| Ok(Frame::data(bytes))));
                }
                State::Failed => return Poll::Ready(None),
            }
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    if let Some(accepted) = self.accept(frame).transpose() {
                        return Poll::Ready(Some(accepted));
                    }
                }
                Some(Err(error)) => {
                    self.state = State::Failed;
                    return Poll::Ready(Some(Err(ResponseError::Connection(error))));
                }
                None if self.end.is_marked() => self.begin_check(),
                None => self.state = State::Complete,
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.state == State::Complete && self.kept.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.body.size_hint();
        let kept = self.kept_bytes as u64;
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower().saturating_add(kept));
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper.saturating_add(kept));
        }
        hint
    }
}

impl fmt::Debug for CheckedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let CheckedBody { end, server, state, kept_bytes, .. } = self;
        f.debug_struct("CheckedBody")
            .field("end", end)
            .field("server", server)
            .field("state", state)
            .field("kept_bytes", kept_bytes)
            .finish_non_exhaustive()
    }
}
