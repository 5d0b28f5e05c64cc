//! The memory of a process for what its clients send.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use slotmap::{SlotMap, new_key_type};
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

use crate::http::NodeMemory;

/// The share of a node's memory that bodies may use.
const MEMORY_SHARE: f64 = 0.35;
/// The largest body that needs no room, in bytes: it must not wait behind larger ones. The memory of a connection
/// includes it.
pub const SMALL_BYTES: usize = 16 * 1_024;
/// One of so many parts of the room is kept for what can't wait.
const RESERVED_PART: usize = 8;
/// The longest time that the body of a request stays unread because there is no room.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// How often a body that waits looks for slow ones.
const RECHECK: Duration = Duration::from_millis(100);
/// The time in which a body need not have arrived at the least rate.
const RATE_GRACE: Duration = Duration::from_millis(500);
/// The least rate of a body while others wait, in bytes per second.
const LEAST_RATE: f64 = 16_384.0;
/// The longest time for a body to arrive while others wait.
const LONGEST_ARRIVAL: Duration = Duration::from_secs(10);

/// A `BodyBudget` bounds the sum of the bodies that a process holds, from the first byte that it reads until the request has
/// ended. What has no room stays unread, so that its connection waits.
///
/// A body that waits revokes the room of bodies that arrive too slowly: clients that stop in the middle of theirs would
/// otherwise keep it until a time limit.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    shared: Arc<Shared>,
}

/// A `BodyRoom` is the room of one body, which is free again when it is dropped.
#[derive(Debug, Default)]
pub struct BodyRoom {
    held: Option<(Arc<Shared>, BodyKey)>,
    bytes: usize,
    arrival: Arc<Arrival>,
}

/// A `NoRoom` is a body that found no room in time, or lost it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

new_key_type! {
    /// A `BodyKey` is the key of a body that has room.
    struct BodyKey;
}

#[derive(Debug)]
struct Shared {
    total: usize,
    state: Mutex<State>,
    freed: Notify,
}

#[derive(Debug, Default)]
struct State {
    free: usize,
    bodies: SlotMap<BodyKey, Held>,
    /// The bodies that wait, smallest first.
    waiting: BTreeSet<Waiting>,
    next_number: u64,
}

/// A body that waits for this many bytes, and its number.
type Waiting = (usize, u64);

#[derive(Debug)]
struct Held {
    bytes: usize,
    stage: Stage,
    since: Instant,
    arrival: Arc<Arrival>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The body arrives, or its client has stopped.
    Arriving,
    /// The body waits for more room.
    Waiting,
    /// The room is revoked and about to be free.
    Revoked,
    /// The body has arrived and is needed.
    Complete,
}

#[derive(Debug, Default)]
struct Arrival {
    /// The bytes that have arrived since the room was last extended.
    bytes: AtomicUsize,
    revoked: Notify,
}

impl BodyBudget {
    /// Returns the budget of a node with some memory, in MB.
    pub fn new(memory_mb: Option<f64>) -> BodyBudget {
        BodyBudget::of_node(NodeMemory::new(memory_mb))
    }

    /// Returns the budget of a node with some memory.
    pub fn of_node(memory: NodeMemory) -> BodyBudget {
        BodyBudget::with_bytes(memory.share(MEMORY_SHARE))
    }

    /// Returns a budget of this many bytes.
    pub fn with_bytes(total: usize) -> BodyBudget {
        let state = Mutex::new(State { free: total, ..State::default() });
        BodyBudget { shared: Arc::new(Shared { total, state, freed: Notify::new() }) }
    }

    /// Waits for room for a body of at most some bytes, not longer than `limit` allows. A body that is larger than all
    /// room there is waits for all of it.
    pub async fn reserve(&self, bytes: usize, limit: Duration) -> Result<BodyRoom, NoRoom> {
        let mut room = BodyRoom::default();
        room.extend(self, bytes, limit).await?;
        Ok(room)
    }

    /// Returns room for some bytes that are complete, if there is any.
    pub fn try_reserve(&self, bytes: usize) -> Option<BodyRoom> {
        if bytes == 0 {
            return Some(BodyRoom::default());
        }
        let mut state = self.shared.lock();
        state.free = state.free.checked_sub(bytes)?;
        let arrival = Arc::default();
        let held = Held {
            bytes,
            stage: Stage::Complete,
            since: Instant::now(),
            arrival: Arc::clone(&arrival),
        };
        let key = state.bodies.insert(held);
        Some(BodyRoom { held: Some((Arc::clone(&self.shared), key)), bytes, arrival })
    }

    /// Returns the bytes that are free.
    pub fn free_bytes(&self) -> usize {
        self.shared.lock().free
    }

    /// Returns the bytes that are in use.
    pub fn used_bytes(&self) -> usize {
        self.shared.total - self.free_bytes()
    }
}

impl Default for BodyBudget {
    fn default() -> Self {
        BodyBudget::new(None)
    }
}

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
            let mut freed = std::pin::pin!(freed);
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

    /// Keeps room for a body of this many bytes that has arrived; it is no longer revoked.
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

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl State {
    fn set_stage(&mut self, key: BodyKey, stage: Stage) {
        if let Some(held) = self.bodies.get_mut(key) {
            held.stage = stage;
        }
    }

    // Revokes the room of the slowest bodies that arrive at less than the least rate, until `bytes` can be taken.
    fn revoke_slow(&mut self, now: Instant, bytes: usize, reserved: usize) {
        let revoked = self.bodies.values().filter(|held| held.stage == Stage::Revoked);
        let mut available = self.free + revoked.map(|held| held.bytes).sum::<usize>();
        let mut slow: Vec<(f64, BodyKey)> = Vec::new();
        for (key, held) in &self.bodies {
            if let Some(rate) = held.slow_rate(now) {
                slow.push((rate, key));
            }
        }
        slow.sort_by(|(rate, _), (other, _)| rate.total_cmp(other));
        for (_, key) in slow {
            if bytes + reserved <= available {
                return;
            }
            let Some(held) = self.bodies.get_mut(key) else { continue };
            held.stage = Stage::Revoked;
            held.arrival.revoked.notify_one();
            available += held.bytes;
        }
    }
}

impl Held {
    // Returns the rate at which the body arrives, in bytes per second, if that is too low.
    fn slow_rate(&self, now: Instant) -> Option<f64> {
        let took = now.duration_since(self.since);
        if self.stage != Stage::Arriving || took < RATE_GRACE {
            return None;
        }
        let rate = self.arrival.bytes.load(Ordering::Relaxed) as f64 / took.as_secs_f64();
        let least = LEAST_RATE.max(self.bytes as f64 / LONGEST_ARRIVAL.as_secs_f64());
        (rate < least).then_some(rate)
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
