//! A sum over the last minute.

use bulrushhall_core::Stamp;

/// The length of a slot, in seconds.
const SLOT_SECONDS: u64 = 5;
/// The number of slots: together with the current one they cover 55 to 60 s.
const SLOTS: usize = 12;

/// A `RecentSum` is a sum of amounts over the last minute, in slots of 5 s.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentSum {
    slots: [f32; SLOTS],
    current: u64,
}

impl RecentSum {
    /// Adds an amount, which may be negative.
    pub fn add(&mut self, now: Stamp, amount: f64) {
        let slot = slot(now);
        for passed in (self.current + 1..=slot).rev().take(SLOTS) {
            self.slots[at(passed)] = 0.0;
        }
        self.current = self.current.max(slot);
        self.slots[at(self.current)] += amount as f32;
    }

    /// Returns the sum over the last minute.
    pub fn sum(&self, now: Stamp) -> f64 {
        let passed = slot(now).saturating_sub(self.current);
        let kept = (SLOTS as u64).saturating_sub(passed);
        let mut sum = 0.0;
        for back in 0..kept.min(self.current + 1) {
            sum += f64::from(self.slots[at(self.current - back)]);
        }
        sum.max(0.0)
    }
}

fn slot(now: Stamp) -> u64 {
    now.since(Stamp(0)).as_secs() / SLOT_SECONDS
}

fn at(slot: u64) -> usize {
    (slot % SLOTS as u64) as usize
}
