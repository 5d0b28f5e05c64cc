//! The rate at which queued work is started.

use std::time::Duration;

use bulrushhall_core::Stamp;

/// The time constant of the average: a few exchanges between nodes, and shorter than the time in which engines are
/// replaced.
const AVERAGING_TIME: Duration = Duration::from_millis(1_500);
/// The observed time below which a rate is not known: work is granted once in each exchange of 250 to 600 ms.
const MIN_OBSERVED: Duration = Duration::from_millis(600);

/// A `WorkRate` is the work that is started in a second while work is queued, in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkRate {
    work: f64,
    seconds: f64,
    updated_at: Stamp,
    is_queued: bool,
}

impl WorkRate {
    /// Notes that there is queued work from now on.
    pub fn note_queued(&mut self, now: Stamp) {
        self.update(now);
        self.is_queued = true;
    }

    /// Notes that no work is queued from now on.
    pub fn note_empty(&mut self, now: Stamp) {
        self.update(now);
        self.is_queued = false;
    }

    /// Notes started work, in tokens.
    pub fn note_started(&mut self, now: Stamp, work: u32) {
        self.update(now);
        self.work += f64::from(work);
    }

    /// Returns the work per second, in tokens; none if work was queued for too short a time.
    pub fn per_second(&self, now: Stamp) -> Option<f64> {
        let mut current = *self;
        current.update(now);
        (MIN_OBSERVED.as_secs_f64() <= current.seconds).then(|| current.work / current.seconds)
    }

    fn update(&mut self, now: Stamp) {
        let passed = now.since(self.updated_at).as_secs_f64();
        let kept = (-passed / AVERAGING_TIME.as_secs_f64()).exp();
        self.work *= kept;
        self.seconds *= kept;
        if self.is_queued {
            self.seconds += AVERAGING_TIME.as_secs_f64() * (1.0 - kept);
        }
        self.updated_at = self.updated_at.max(now);
    }
}
