//! The body of a request that may be refused before it has arrived.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::{runtime::Handle, time::timeout};

use crate::http::{BodyError, read_limited};

/// The longest time for which a node that leaves discards a body: its stop waits for that.
const LEAVING_DISCARD_TIME: Duration = Duration::from_secs(1);
/// The longest time until a body that is being discarded is affected by the node's leaving.
const LEAVING_PAUSE: Duration = Duration::from_millis(100);

/// Returns whether the node leaves.
type IsLeaving = Box<dyn Fn() -> bool + Send + Sync>;

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
pub struct UnreadBody {
    body: Option<Incoming>,
    limits: DiscardLimits,
    is_leaving: Option<IsLeaving>,
}

impl UnreadBody {
    /// Returns the body of a request; less of it is discarded once `is_leaving` returns `true`.
    pub fn new(
        body: Incoming,
        limits: DiscardLimits,
        is_leaving: impl Fn() -> bool + Send + Sync + 'static,
    ) -> UnreadBody {
        UnreadBody { body: Some(body), limits, is_leaving: Some(Box::new(is_leaving)) }
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
        let Some(is_leaving) = self.is_leaving.take() else { return };
        runtime.spawn(discard(body, self.limits, is_leaving));
    }
}

async fn discard(mut body: Incoming, limits: DiscardLimits, is_leaving: IsLeaving) {
    let mut left = limits.bytes;
    let mut until = Instant::now() + limits.time;
    let mut leaves = false;
    loop {
        let now = Instant::now();
        if !leaves && is_leaving() {
            leaves = true;
            until = until.min(now + LEAVING_DISCARD_TIME);
        }
        if until <= now {
            return;
        }
        let wait = until.duration_since(now).min(LEAVING_PAUSE);
        let Ok(frame) = timeout(wait, body.frame()).await else { continue };
        let Some(Ok(frame)) = frame else { return };
        let read = frame.data_ref().map_or(0, Bytes::len);
        if left < read {
            return;
        }
        left -= read;
    }
}
