//! The gaps between the events of one stream.

use std::time::Duration;

use bulrushhall_core::{Stamp, bounded_seconds};
use bulrushhall_policy::observed::RecentSamples;

/// The number of gaps that are kept of a stream. These are its last ones: the sample is taken with the
/// engine's load at the end of the stream.
const KEPT_GAPS: usize = 16;
/// The minimum number of events of a sample: the first events often arrive together.
const MIN_EVENTS: u32 = 4;

/// `StreamGaps` are the gaps between the events of one stream.
#[derive(Clone, Debug, Default)]
pub struct StreamGaps {
    gaps: RecentSamples<KEPT_GAPS>,
    last_at: Option<Stamp>,
    events: u32,
    longest: Duration,
}

impl StreamGaps {
    /// Notes the arrival of `events` events.
    pub fn note(&mut self, now: Stamp, events: u32) {
        self.events += events;
        if let Some(last_at) = self.last_at.replace(now)
            && 0 < events
        {
            let gap = now.since(last_at);
            self.longest = self.longest.max(gap);
            self.gaps.note(gap.as_secs_f64() / f64::from(events));
        }
    }

    /// Returns the longest gap between two arrivals of events.
    pub fn longest(&self) -> Duration {
        self.longest
    }

    /// Returns the median gap and the number of events; none if there are too few.
    pub fn median(&self) -> Option<(Duration, u32)> {
        if self.events < MIN_EVENTS {
            return None;
        }
        Some((bounded_seconds(self.gaps.median()?), self.events))
    }
}
