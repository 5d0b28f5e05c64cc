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
    _request: ServedRequest,
}

impl ServedBody {
    /// Returns the body of the response to a request.
    pub fn new(body: Body, request: ServedRequest) -> ServedBody {
        ServedBody { body, _request: request }
    }
}

impl HttpBody for ServedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
