//! The body of a response, with what ends when it does.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::http::{Body, BoxError, connection_state::ServedRequest};

/// A `ServedBody` is the body of a response, whose connection waits for its client again when it is dropped.
pub struct ServedBody {
    body: Body,
    request: ServedRequest,
    ends_with_connection: bool,
}

impl ServedBody {
    /// Returns the body of the response to a request; `ends_with_connection` tells whether nothing else marks its end.
    pub fn new(body: Body, request: ServedRequest, ends_with_connection: bool) -> ServedBody {
        ServedBody { body, request, ends_with_connection }
    }
}

impl HttpBody for ServedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if self.ends_with_connection && matches!(polled, Poll::Ready(Some(Err(_)))) {
            self.request.note_broken();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
