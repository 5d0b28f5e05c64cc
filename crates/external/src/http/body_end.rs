//! The marks by which the end of a response's body is known.

use hyper::{Method, StatusCode, http::response};

use crate::http::{ResponseFault, framing::Framing};

/// A `BodyEnd` is what marks the end of a response's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The body is empty by the method or the status.
    NoBody,
    /// The length in bytes.
    Length(u64),
    /// The last chunk.
    LastChunk,
    /// The end of the connection, which may also mean that the body was cut.
    ConnectionEnd,
}

impl BodyEnd {
    /// Returns what marks the end of the body of a response to a request with `method`, or why its head can't be used.
    pub fn of(head: &response::Parts, method: &Method) -> Result<BodyEnd, ResponseFault> {
        let status = head.status.as_u16();
        if !(200..600).contains(&status) {
            return Err(ResponseFault::Status);
        }
        let framing = Framing::of(head.version, &head.headers)?;
        let is_no_content = head.status == StatusCode::NO_CONTENT;
        if is_no_content && !matches!(framing, Framing::None | Framing::Length(0)) {
            return Err(ResponseFault::Length);
        }
        if is_no_content || head.status == StatusCode::NOT_MODIFIED || method == Method::HEAD {
            return Ok(BodyEnd::NoBody);
        }
        Ok(match framing {
            Framing::None => BodyEnd::ConnectionEnd,
            Framing::Length(length) => BodyEnd::Length(length),
            Framing::Chunked => BodyEnd::LastChunk,
        })
    }

    /// Returns whether the end is marked, so that a body that was cut is known to be.
    pub fn is_marked(self) -> bool {
        self != BodyEnd::ConnectionEnd
    }

    /// Returns whether the body is empty.
    pub fn is_empty(self) -> bool {
        matches!(self, BodyEnd::NoBody | BodyEnd::Length(0))
    }
}
