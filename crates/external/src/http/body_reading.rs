//! The reading of a body within a budget.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::http::{BodyBudget, BodyError, BodyRoom, NoRoom, body_segments::BodySegments};

/// How many times its room a body without an announced length gets when it needs more.
const GROWTH: usize = 4;

/// A `BodyLimits` bound a body that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// The maximum number of bytes.
    pub bytes: usize,
    /// The longest time, also for the wait for memory.
    pub time: Duration,
    /// How many times its size its request takes.
    pub copies: usize,
}

/// A body that is being read.
pub(super) struct Reading<'a> {
    pub(super) budget: &'a BodyBudget,
    pub(super) limits: BodyLimits,
    pub(super) until: Instant,
    pub(super) announced: Option<usize>,
    pub(super) room: BodyRoom,
    pub(super) read: BodySegments,
}

impl Reading<'_> {
    /// Reads it to its end.
    pub(super) async fn run(&mut self, body: &mut Incoming) -> Result<(), BodyError> {
        loop {
            let frame = tokio::select! {
                biased;
                () = self.room.revoked() => return Err(BodyError::NoRoom),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else { return Ok(()) };
            let Ok(data) = frame.map_err(|_| BodyError::Closed)?.into_data() else { continue };
            self.add(&data).await?;
        }
    }

    // A frame keeps the whole buffer that it was read into, so its bytes are copied.
    async fn add(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let size = self.read.len() + data.len();
        if self.limits.bytes < size {
            return Err(BodyError::TooLarge);
        }
        let room = self.room.bytes() / self.limits.copies.max(1);
        if room < size && self.announced.is_none() {
            self.extend(room.saturating_mul(GROWTH).max(size)).await?;
        }
        self.room.note_arrived(data.len());
        let max = self.announced.unwrap_or(self.limits.bytes);
        self.read.add(data, max);
        Ok(())
    }

    async fn extend(&mut self, bytes: usize) -> Result<(), BodyError> {
        let bytes = bytes.min(self.limits.bytes).saturating_mul(self.limits.copies);
        let left = self.until.saturating_duration_since(Instant::now());
        let extending = self.room.extend(self.budget, bytes, left);
        extending.await.map_err(|NoRoom| BodyError::NoRoom)
    }

    /// Returns its bytes and their room.
    pub(super) fn finish(mut self) -> (Bytes, BodyRoom) {
        self.room.complete(self.read.len().saturating_mul(self.limits.copies));
        (Bytes::from(self.read.concat()), self.room)
    }
}
