//! The bodies that have room, and those that wait for it.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use slotmap::{SlotMap, new_key_type};
use tokio::{sync::Notify, time::Instant};

/// One of so many parts of the room is kept for what can't wait.
pub(super) const RESERVED_PART: usize = 8;
/// The time in which a body need not have arrived at the least rate.
const RATE_GRACE: Duration = Duration::from_millis(500);
/// The least rate of a body while others wait, in bytes per second.
const LEAST_RATE: f64 = 16_384.0;
/// The longest time for a body to arrive while others wait.
const LONGEST_ARRIVAL: Duration = Duration::from_secs(10);

new_key_type! {
    /// A `BodyKey` is the key of a body that has room.
    pub struct BodyKey;
}

/// The state that a budget and all rooms in it share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) total: usize,
    pub(super) state: Mutex<HeldBodies>,
    pub(super) freed: Notify,
}

/// `HeldBodies` are the bodies that have room, and those that wait for it.
#[derive(Debug, Default)]
pub(super) struct HeldBodies {
    pub(super) free: usize,
    pub(super) bodies: SlotMap<BodyKey, Held>,
    /// The bodies that wait, smallest first.
    pub(super) waiting: BTreeSet<Waiting>,
    pub(super) next_number: u64,
}

/// A body that waits for this many bytes, and its number.
pub(super) type Waiting = (usize, u64);

/// A body that has room.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) bytes: usize,
    pub(super) stage: Stage,
    pub(super) since: Instant,
    pub(super) arrival: Arc<Arrival>,
}

/// What happens to a body that has room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The body arrives, or its client has stopped.
    Arriving,
    /// The body waits for more room.
    Waiting,
    /// The room is revoked and about to be free.
    Revoked,
    /// The body has arrived and is needed.
    Complete,
}

/// How a body arrives.
#[derive(Debug, Default)]
pub(super) struct Arrival {
    /// The bytes that have arrived since the room was last extended.
    pub(super) bytes: AtomicUsize,
    pub(super) revoked: Notify,
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, HeldBodies> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl HeldBodies {
    pub(super) fn set_stage(&mut self, key: BodyKey, stage: Stage) {
        if let Some(held) = self.bodies.get_mut(key) {
            held.stage = stage;
        }
    }

    // Revokes the room of the slowest bodies that arrive at less than the least rate, until `bytes` can be taken.
    pub(super) fn revoke_slow(&mut self, now: Instant, bytes: usize, reserved: usize) {
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
