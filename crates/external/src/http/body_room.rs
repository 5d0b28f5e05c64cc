//! The room of one body.

use std::{
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time::{Instant, timeout_at};

use crate::http::{
    BodyBudget,
    held_bodies::{Arrival, BodyKey, Held, RESERVED_PART, Shared, Stage, Waiting},
};

/// The largest body that needs no room, in bytes: it must not wait behind larger ones. The memory of a connection
/// includes it.
pub const SMALL_BYTES: usize = 16 * 1_024;
/// The longest time that the body of a request stays unread because there is no room.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// How often a body that waits looks for slow ones.
const RECHECK: Duration = Duration::from_millis(100);

/// A `BodyRoom` is the room of one body, which is free again when it is dropped.
#[derive(Debug, Default)]
pub struct BodyRoom {
    pub(super) held: Option<(Arc<Shared>, BodyKey)>,
    pub(super) bytes: usize,
    pub(super) arrival: Arc<Arrival>,
}

/// A `NoRoom` is a body that found no room in time, or lost it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

impl BodyRoom {
    /// Returns how many bytes of a body have room.
    pub fn bytes(&self) -> usize {
        self.bytes.max(SMALL_BYTES)
    }

    /// Waits for room for all in all some bytes, not longer than `limit` allows.
    pub async fn extend(
        &mut self,
        budget: &BodyBudget,
        bytes: usize,
        limit: Duration,
    ) -> Result<(), NoRoom> {
        if bytes <= self.bytes() {
            return Ok(());
        }
        let shared = &budget.shared;
        let most = shared.total - shared.total / RESERVED_PART;
        let bytes = bytes.min(most).max(self.bytes);
        let more = bytes - self.bytes;
        if let Some((_, key)) = self.held {
            shared.lock().set_stage(key, Stage::Waiting);
        }
        let until = Instant::now() + MAX_WAIT.min(limit);
        let place = WaitingPlace::begin(shared, more);
        loop {
            let freed = shared.freed.notified();
            let mut freed = pin!(freed);
            freed.as_mut().enable();
            if self.take(shared, place.waiting, bytes) {
                return Ok(());
            }
            let now = Instant::now();
            if until <= now {
                return Err(NoRoom);
            }
            shared.lock().revoke_slow(now, more, shared.total / RESERVED_PART);
            let _ = timeout_at(until.min(now + RECHECK), freed).await;
        }
    }

    // Takes room if there is enough and no smaller body waits.
    fn take(&mut self, shared: &Arc<Shared>, waiting: Waiting, bytes: usize) -> bool {
        let mut state = shared.lock();
        let more = waiting.0;
        let reserved = shared.total / RESERVED_PART;
        if state.waiting.first() != Some(&waiting) || state.free < more + reserved {
            return false;
        }
        state.free -= more;
        self.bytes = bytes;
        self.arrival.bytes.store(0, Ordering::Relaxed);
        let arrival = Arc::clone(&self.arrival);
        let held = Held { bytes, stage: Stage::Arriving, since: Instant::now(), arrival };
        match &self.held {
            Some((_, key)) => {
                if let Some(known) = state.bodies.get_mut(*key) {
                    *known = held;
                }
            }
            None => {
                let key = state.bodies.insert(held);
                self.held = Some((Arc::clone(shared), key));
            }
        }
        true
    }

    /// Notes that bytes of the body have arrived.
    pub fn note_arrived(&self, bytes: usize) {
        self.arrival.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Waits until the room is revoked, because the body arrives too slowly.
    pub async fn revoked(&self) {
        self.arrival.revoked.notified().await;
    }

    /// Keeps room for a body of this many bytes that has arrived; it can't be revoked then.
    pub fn complete(&mut self, bytes: usize) {
        let Some((shared, key)) = &self.held else { return };
        let bytes = if bytes <= SMALL_BYTES { 0 } else { bytes.min(self.bytes) };
        let mut state = shared.lock();
        state.set_stage(*key, Stage::Complete);
        if let Some(held) = state.bodies.get_mut(*key) {
            held.bytes = bytes;
            state.free += self.bytes - bytes;
            self.bytes = bytes;
        }
        drop(state);
        shared.freed.notify_waiters();
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        let Some((shared, key)) = self.held.take() else { return };
        let mut state = shared.lock();
        if let Some(held) = state.bodies.remove(key) {
            state.free += held.bytes;
        }
        drop(state);
        shared.freed.notify_waiters();
    }
}

/// A place among the bodies that wait, until it is dropped.
struct WaitingPlace<'a> {
    shared: &'a Shared,
    waiting: Waiting,
}

impl WaitingPlace<'_> {
    fn begin(shared: &Shared, bytes: usize) -> WaitingPlace<'_> {
        let mut state = shared.lock();
        let waiting = (bytes, state.next_number);
        state.next_number += 1;
        state.waiting.insert(waiting);
        WaitingPlace { shared, waiting }
    }
}

impl Drop for WaitingPlace<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.waiting.remove(&self.waiting);
        let others_wait = !state.waiting.is_empty();
        drop(state);
        if others_wait {
            self.shared.freed.notify_waiters();
        }
    }
}
