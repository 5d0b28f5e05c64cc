//! Bodies of requests and answers.

use std::{error, fmt, pin::pin, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use http_body_util::{BodyExt, Empty, Full, LengthLimitError, Limited, StreamBody, combinators};
use hyper::body::Frame;

/// The body of an answer.
pub type Body = combinators::UnsyncBoxBody<Bytes, BoxError>;

/// What ends a body early; the connection is then closed without the body's regular end.
pub type BoxError = Box<dyn error::Error + Send + Sync>;

/// A `BodyError` tells why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    Timeout,
    /// The connection ended within the body.
    Closed,
}

/// `BodyTimeouts` bound the reading of a body, which may be large for its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyTimeouts {
    /// The longest time in which no byte arrives.
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
        })
    }
}

impl error::Error for BodyError {}

/// Returns an empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that is known as a whole.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body whose chunks are sent as the stream yields them.
pub fn streamed(chunks: impl Stream<Item = Bytes> + Send + 'static) -> Body {
    StreamBody::new(chunks.map(|chunk| Ok(Frame::data(chunk)))).boxed_unsync()
}

/// Returns the whole of a body of at most `limit` bytes that arrives within `timeout`.
pub async fn read_limited<B>(body: B, limit: usize, timeout: Duration) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn error::Error + Send + Sync>>,
{
    let collected = tokio::time::timeout(timeout, Limited::new(body, limit).collect()).await;
    match collected {
        Err(_) => Err(BodyError::Timeout),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => Err(broken(&error)),
    }
}

fn broken(error: &BoxError) -> BodyError {
    if error.is::<LengthLimitError>() { BodyError::TooLarge } else { BodyError::Closed }
}

/// Returns the whole of a body of at most `limit` bytes that keeps arriving.
///
/// A time-out for the whole makes what is too large for a slow link arrive never: it is cut, asked for
/// again, and takes the link from everything else meanwhile.
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

async fn read_frames<B>(body: B, pause: Duration) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes, Error = BoxError>,
{
    let mut body = pin!(body);
    let mut read = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(pause, body.frame()).await;
        let Some(frame) = frame.map_err(|_| BodyError::Timeout)? else { return Ok(read.freeze()) };
        let Ok(data) = frame.map_err(|error| broken(&error))?.into_data() else { continue };
        read.extend_from_slice(&data);
    }
}
