//! When blocked requests are let through.

use std::time::Duration;

use super::Confidence;

/// A `ProbeSchedule` says after which times blocked requests are let through to see whether they still crash their servers.
#[derive(Clone, Copy, Debug)]
pub struct ProbeSchedule {
    /// The times since the block, or since the probe before; there are no more probes than times.
    pub after: [Duration; 2],
    /// The same for a block of which the evidence is in doubt.
    pub doubtful_after: [Duration; 3],
}

impl ProbeSchedule {
    /// Returns the times for a block.
    pub fn times(&self, confidence: Confidence) -> &[Duration] {
        match confidence {
            Confidence::Doubtful => &self.doubtful_after,
            Confidence::Certain => &self.after,
        }
    }
}

impl Default for ProbeSchedule {
    fn default() -> ProbeSchedule {
        let [first, last] = [Duration::from_secs(30), Duration::from_secs(3_600)];
        let doubtful_after = [Duration::ZERO, Duration::from_secs(10), last];
        ProbeSchedule { after: [first, last], doubtful_after }
    }
}
