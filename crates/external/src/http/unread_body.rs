//! The body of a request that may be refused before it has arrived.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::{runtime::Handle, time::timeout};

use crate::http::{BodyError, read_limited};

/// `DiscardLimits` bound what is read of a body that nobody needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscardLimits {
    /// The maximum number of bytes.
    pub bytes: usize,
    /// The longest time.
    pub time: Duration,
}

/// An `UnreadBody` is the body of a request; what was not read of it when it is dropped is discarded as it arrives.
///
/// Otherwise the connection would be closed after the response, without notice to the caller, which may have sent its next
/// request by then.
#[derive(Debug)]
pub struct UnreadBody {
    body: Option<Incoming>,
    limits: DiscardLimits,
}

impl UnreadBody {
    /// Returns the body of a request.
    pub fn new(body: Incoming, limits: DiscardLimits) -> UnreadBody {
        UnreadBody { body: Some(body), limits }
    }

    /// Returns whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.body.as_ref().is_none_or(Incoming::is_end_stream)
    }

    /// Returns its size in bytes, if that is announced.
    pub fn announced(&self) -> Option<usize> {
        let bytes = self.body.as_ref()?.size_hint().exact()?;
        usize::try_from(bytes).ok()
    }

    /// Returns all its bytes, of which there may be at most `limit`, if they arrive within `time`.
    pub async fn read(mut self, limit: usize, time: Duration) -> Result<Bytes, BodyError> {
        let Some(body) = &mut self.body else { return Ok(Bytes::new()) };
        let bytes = read_limited(body, limit, time).await?;
        self.body = None;
        Ok(bytes)
    }
}

impl Drop for UnreadBody {
    fn drop(&mut self) {
        let Some(body) = self.body.take().filter(|body| !body.is_end_stream()) else { return };
        let Ok(runtime) = Handle::try_current() else { return };
        let DiscardLimits { bytes, time } = self.limits;
        runtime.spawn(async move {
            let _ = timeout(time, discard(body, bytes)).await;
        });
    }
}

async fn discard(mut body: Incoming, mut left: usize) {
    while let Some(Ok(frame)) = body.frame().await {
        let read = frame.data_ref().map_or(0, Bytes::len);
        if left < read {
            return;
        }
        left -= read;
    }
}
