//! Bodies of requests and responses.

use std::{error, fmt, pin::pin, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use http_body_util::{BodyExt, Empty, Full, LengthLimitError, Limited, StreamBody, combinators};
use hyper::body::Frame;

use crate::http::ResponseError;

/// The body of a response.
pub type Body = combinators::UnsyncBoxBody<Bytes, BoxError>;

/// The error that aborts a body; the connection is then closed without the regular end of the body.
pub type BoxError = Box<dyn error::Error + Send + Sync>;

/// A `BodyError` states why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    Timeout,
    /// The connection was closed within the body.
    Closed,
    /// The body is not what its head announced.
    Malformed,
    /// There was no memory for the body, or it arrived too slowly while others waited for memory.
    NoRoom,
}

/// `BodyTimeouts` are the time limits for reading a body that may be large or on a slow link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyTimeouts {
    /// The longest time without received bytes.
    pub idle: Duration,
    /// The longest time for the whole body.
    pub total: Duration,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyError::TooLarge => "the body is too large",
            BodyError::Timeout => "the body did not arrive in time",
            BodyError::Closed => "the connection ended within the body",
            BodyError::Malformed => "the body is not what its head announced",
            BodyError::NoRoom => "there is no memory for the body",
        })
    }
}

impl error::Error for BodyError {}

/// Returns an empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body with all its bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body whose chunks are sent as the stream yields them.
pub fn streamed(chunks: impl Stream<Item = Bytes> + Send + 'static) -> Body {
    StreamBody::new(chunks.map(|chunk| Ok(Frame::data(chunk)))).boxed_unsync()
}

/// Returns all bytes of a body of at most `limit` bytes that arrives within `timeout`.
pub async fn read_limited<B>(body: B, limit: usize, timeout: Duration) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn error::Error + Send + Sync>>,
{
    read_with_timeouts(body, limit, BodyTimeouts { idle: timeout, total: timeout }).await
}

fn to_body_error(error: &BoxError) -> BodyError {
    if error.is::<LengthLimitError>() {
        return BodyError::TooLarge;
    }
    let is_fault = error.downcast_ref().is_some_and(ResponseError::is_fault);
    if is_fault { BodyError::Malformed } else { BodyError::Closed }
}

/// Returns all bytes of a body of at most `limit` bytes that arrives without long interruptions.
///
/// With a short timeout for the whole body, one that is too large for a slow link would never arrive:
/// it would be aborted and requested again, and occupy the link in the meantime.
pub async fn read_with_timeouts<B>(
    body: B,
    limit: usize,
    timeouts: BodyTimeouts,
) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn error::Error + Send + Sync>>,
{
    let frames = read_frames(Limited::new(body, limit), timeouts.idle);
    let read = tokio::time::timeout(timeouts.total, frames).await;
    read.unwrap_or(Err(BodyError::Timeout))
}

async fn read_frames<B>(body: B, idle_timeout: Duration) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes, Error = BoxError>,
{
    let mut body = pin!(body);
    let mut read = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(idle_timeout, body.frame()).await;
        let Some(frame) = frame.map_err(|_| BodyError::Timeout)? else { return Ok(read.freeze()) };
        let Ok(data) = frame.map_err(|error| to_body_error(&error))?.into_data() else { continue };
        read.extend_from_slice(&data);
    }
}
