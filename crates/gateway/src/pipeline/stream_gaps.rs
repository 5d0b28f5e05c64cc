//! The times between the events of one stream.

use std::time::Duration;

use bulrushhall_core::Stamp;
use bulrushhall_policy::observed::RecentSamples;

/// The gaps that are held of a stream: its last ones, when its engine was as full as it is told to be
/// at the end.
const HELD: usize = 16;
/// The events from which a stream tells something: its first ones often come together.
const EVENTS_LEAST: u32 = 4;

/// `StreamGaps` are the times between the events of one stream.
#[derive(Clone, Debug, Default)]
pub struct StreamGaps {
    gaps: RecentSamples<HELD>,
    last_at: Option<Stamp>,
    events: u32,
}

impl StreamGaps {
    /// Notes that `events` arrived.
    pub fn note(&mut self, now: Stamp, events: u32) {
        self.events += events;
        if let Some(last_at) = self.last_at.replace(now)
            && 0 < events
        {
            self.gaps.note(now.since(last_at).as_secs_f64() / f64::from(events));
        }
    }

    /// Returns the median gap and the number of events; none where they are too few.
    pub fn measured(&self) -> Option<(Duration, u32)> {
        if self.events < EVENTS_LEAST {
            return None;
        }
        Some((Duration::from_secs_f64(self.gaps.median()?), self.events))
    }
}
