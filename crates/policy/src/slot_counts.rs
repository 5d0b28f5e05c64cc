//! Counts of events in the last two windows.

use std::{collections::VecDeque, time::Duration};

use bulrushhall_core::Stamp;

/// The slots of a window.
const SLOTS: u64 = 40;

/// `SlotCounts` are the counts of events in short slots of time, as many as two windows have.
#[derive(Clone, Debug, Default)]
pub struct SlotCounts {
    /// The numbers of the slots with their counts, the oldest first.
    slots: VecDeque<(u64, u32)>,
}

impl SlotCounts {
    /// Adds an event.
    pub fn note(&mut self, now: Stamp, window: Duration) {
        let slot = slot_of(now, window);
        while self.slots.front().is_some_and(|(first, _)| first + 2 * SLOTS <= slot) {
            self.slots.pop_front();
        }
        match self.slots.back_mut() {
            Some((last, count)) if *last == slot => *count = count.saturating_add(1),
            _ => self.slots.push_back((slot, 1)),
        }
    }

    /// Returns the number of slots that are kept.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether no slots are kept.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the events in the window that ends now, and in the one before it.
    pub fn windows(&self, now: Stamp, window: Duration) -> (u32, u32) {
        let current = slot_of(now, window);
        let (mut last, mut before) = (0, 0);
        for (slot, count) in &self.slots {
            let age = current.saturating_sub(*slot);
            if age < SLOTS {
                last += count;
            } else if age < 2 * SLOTS {
                before += count;
            }
        }
        (last, before)
    }
}

fn slot_of(at: Stamp, window: Duration) -> u64 {
    let length = (window / SLOTS as u32).max(Duration::from_millis(1));
    let slots = at.since(Stamp(0)).as_nanos() / length.as_nanos();
    u64::try_from(slots).unwrap_or(u64::MAX)
}
