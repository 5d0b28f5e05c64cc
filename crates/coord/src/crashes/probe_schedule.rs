//! When blocked requests are let through.

use std::time::Duration;

/// A `ProbeSchedule` says after which times blocked requests are let through to see whether they still crash their servers.
#[derive(Clone, Copy, Debug)]
pub struct ProbeSchedule {
    /// The times since the block, or since the probe before; there are no more probes than times.
    pub after: [Duration; 2],
}

impl Default for ProbeSchedule {
    fn default() -> ProbeSchedule {
        ProbeSchedule { after: [Duration::from_secs(30), Duration::from_secs(3_600)] }
    }
}
