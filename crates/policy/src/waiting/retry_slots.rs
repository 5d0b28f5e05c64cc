//! The times at which refused callers are asked to retry.

use std::{collections::HashMap, time::Duration};

use bulrushhall_core::{Stamp, bounded_seconds};
use rand::{Rng, RngExt};

use crate::waiting::{RANKS, WaitingRequest};

/// The shortest retry delay, so that a caller does not meet the same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The longest retry delay: a shortage ends when new engines have started, and callers rarely wait longer.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// How long after its time a caller still goes first.
const BOOKING_LIFETIME: Duration = Duration::from_secs(2);
/// The number of bookings from which outdated ones are dropped; if all are valid, no more are made.
const MAX_BOOKINGS: usize = 20_000;

/// `RetrySlots` spread the retries of refused callers over the capacity that is left for their urgency.
#[derive(Clone, Debug, Default)]
pub struct RetrySlots {
    next: [Stamp; RANKS],
    booked: HashMap<u64, Stamp>,
}

impl RetrySlots {
    /// Returns after which time a refused caller is to retry.
    ///
    /// `earliest` is the time until the queue is short enough. Each retry takes the time in which its work is done at
    /// `per_second`, so that retries arrive no faster than they can be served. A caller who was given a time before keeps
    /// it, so a retry before that time gains nothing.
    pub fn book(
        &mut self,
        now: Stamp,
        req: &WaitingRequest,
        earliest: Duration,
        per_second: Option<f64>,
        random: &mut dyn Rng,
    ) -> Duration {
        if let Some(at) = self.booked_at(req).filter(|at| now < *at) {
            return at.since(now).max(MIN_RETRY_AFTER);
        }
        let next = &mut self.next[usize::from(req.rank).min(RANKS - 1)];
        let first = (now + earliest.max(MIN_RETRY_AFTER)).max(*next);
        let slot = f64::from(req.work) / per_second.unwrap_or(0.0).max(1.0);
        let slot = bounded_seconds(slot.min(MAX_RETRY_AFTER.as_secs_f64()));
        let after = if now + MAX_RETRY_AFTER < first + slot {
            // There is not enough capacity for all retries, so they are spread evenly.
            *next = now + MAX_RETRY_AFTER;
            MAX_RETRY_AFTER
                .mul_f64(random.random_range(0.5..1.0))
                .max(earliest.min(MAX_RETRY_AFTER))
        } else {
            *next = first + slot;
            first.since(now) + slot.mul_f64(random.random_range(0.0..1.0))
        };
        self.note(now, req, now + after);
        after
    }

    /// Returns whether a caller retries at the time that it was given, and forgets that time.
    pub fn redeem(&mut self, now: Stamp, req: &WaitingRequest) -> bool {
        let Some(at) = self.booked_at(req).filter(|at| *at <= now) else { return false };
        if let Some(identity) = req.identity {
            self.booked.remove(&identity);
        }
        now.since(at) <= BOOKING_LIFETIME
    }

    fn booked_at(&self, req: &WaitingRequest) -> Option<Stamp> {
        self.booked.get(&req.identity?).copied()
    }

    fn note(&mut self, now: Stamp, req: &WaitingRequest, at: Stamp) {
        let Some(identity) = req.identity else { return };
        if MAX_BOOKINGS <= self.booked.len() {
            self.booked.retain(|_, at| now <= *at + BOOKING_LIFETIME);
        }
        if self.booked.len() < MAX_BOOKINGS {
            self.booked.insert(identity, at);
        }
    }
}
