//! The body of a request that may be refused before it has arrived.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Request,
    body::{Body as _, Incoming},
    http::request::Parts,
};
use tokio::{runtime::Handle, time::timeout};

use crate::http::{
    BodyBudget, BodyError, BodyLimits, BodyRoom, ConnectionState, NoRoom, SMALL_BYTES,
    body_reading::Reading, body_segments::BodySegments, connection_state::ReadBody,
};

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
    connection: Option<ReadBody>,
}

impl UnreadBody {
    /// Takes the body of a request; less of it is discarded once `is_leaving` returns `true`.
    pub fn take(
        req: Request<Incoming>,
        limits: DiscardLimits,
        is_leaving: impl Fn() -> bool + Send + Sync + 'static,
    ) -> (Parts, UnreadBody) {
        let (parts, body) = req.into_parts();
        let connection = parts.extensions.get::<Arc<ConnectionState>>();
        let connection = connection.map(ConnectionState::begin_body);
        let is_leaving: IsLeaving = Box::new(is_leaving);
        let body =
            UnreadBody { body: Some(body), limits, is_leaving: Some(is_leaving), connection };
        (parts, body)
    }

    /// Takes the body of a request of which nothing is discarded.
    pub fn take_whole(req: Request<Incoming>) -> (Parts, UnreadBody) {
        let limits = DiscardLimits { bytes: 0, time: Duration::ZERO };
        UnreadBody::take(req, limits, || false)
    }

    /// Returns whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.body.as_ref().is_none_or(Incoming::is_end_stream)
    }

    /// Returns its size in bytes, if that is announced.
    pub fn announced(&self) -> Option<usize> {
        let bytes = self.body.as_ref()?.size_hint().exact()?;
        Some(usize::try_from(bytes).unwrap_or(usize::MAX))
    }

    /// Returns all its bytes, with their room.
    pub async fn read(
        mut self,
        budget: &BodyBudget,
        limits: BodyLimits,
    ) -> Result<(Bytes, BodyRoom), BodyError> {
        let announced = self.announced();
        if announced.is_some_and(|announced| limits.bytes < announced) {
            return Err(BodyError::TooLarge);
        }
        let until = Instant::now() + limits.time;
        let first = announced.unwrap_or(SMALL_BYTES.min(limits.bytes));
        let room = budget.reserve(first.saturating_mul(limits.copies), limits.time).await;
        let room = room.map_err(|NoRoom| BodyError::NoRoom)?;
        let Some(body) = &mut self.body else { return Ok((Bytes::new(), BodyRoom::default())) };
        let read = BodySegments::default();
        let mut reading = Reading { budget, limits, until, announced, room, read };
        let left = until.saturating_duration_since(Instant::now());
        match timeout(left, reading.run(body)).await {
            Ok(read) => read?,
            Err(_) => return Err(BodyError::Timeout),
        }
        self.body = None;
        if let Some(connection) = &self.connection {
            connection.begin_serving();
        }
        Ok(reading.finish())
    }
}

impl Drop for UnreadBody {
    fn drop(&mut self) {
        let Some(body) = self.body.take().filter(|body| !body.is_end_stream()) else { return };
        let Ok(runtime) = Handle::try_current() else { return };
        let Some(is_leaving) = self.is_leaving.take() else { return };
        let (limits, connection) = (self.limits, self.connection.take());
        runtime.spawn(async move {
            discard(body, limits, is_leaving).await;
            drop(connection);
        });
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
