//! Whether a server is lastingly slower or faster than its service.

use std::time::Duration;

use bulrushhall_core::Stamp;

/// The factor from which a server counts as slower; a faster one has at most its inverse.
const MIN_FACTOR: f64 = 1.3;
/// The factor below which a server no longer counts as slower: different, so that a verdict does not flap.
const MAX_USUAL_FACTOR: f64 = 1.15;
/// How long a factor has to last: longer than a change is followed, so that it is not brief.
const MIN_AGE: Duration = Duration::from_secs(5);
/// The minimum weight of samples behind a verdict.
const MIN_KNOWN: f64 = 12.0;

/// A `SpeedVerdict` is the speed class of a server in its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SpeedVerdict {
    /// As fast as its service.
    #[default]
    Usual,
    /// Lastingly slower.
    Slower,
    /// Lastingly faster.
    Faster,
}

impl SpeedVerdict {
    /// Returns its label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            SpeedVerdict::Usual => "usual",
            SpeedVerdict::Slower => "slower",
            SpeedVerdict::Faster => "faster",
        }
    }
}

/// A `VerdictChange` follows the verdict on one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct VerdictChange {
    verdict: SpeedVerdict,
    next: Option<(SpeedVerdict, Stamp)>,
}

impl VerdictChange {
    /// Takes in the estimated factor, relative to the service, of `known` samples. Returns the verdict and the time it took
    /// if it has changed.
    pub fn update(
        &mut self,
        now: Stamp,
        factor: f64,
        known: f64,
    ) -> Option<(SpeedVerdict, Duration)> {
        let seen = self.seen(factor);
        if known < MIN_KNOWN || seen == self.verdict {
            self.next = None;
            return None;
        }
        let since = match self.next {
            Some((next, since)) if next == seen => since,
            _ => now,
        };
        self.next = Some((seen, since));
        let age = now.since(since);
        if age < MIN_AGE {
            return None;
        }
        (self.verdict, self.next) = (seen, None);
        Some((seen, age))
    }

    /// Returns the verdict.
    pub fn verdict(&self) -> SpeedVerdict {
        self.verdict
    }

    fn seen(&self, factor: f64) -> SpeedVerdict {
        let limit = |verdict| if self.verdict == verdict { MAX_USUAL_FACTOR } else { MIN_FACTOR };
        if limit(SpeedVerdict::Slower) <= factor {
            SpeedVerdict::Slower
        } else if factor <= 1.0 / limit(SpeedVerdict::Faster) {
            SpeedVerdict::Faster
        } else {
            SpeedVerdict::Usual
        }
    }
}
