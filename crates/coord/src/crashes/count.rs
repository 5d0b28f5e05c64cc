//! Judgement by a number of crashes.

use super::{Background, Judge, PartTally};

/// A `CrashCount` blames a part after a number of crashes without any sound answer.
#[derive(Clone, Copy, Debug)]
pub struct CrashCount {
    /// The crashes.
    pub crashes: u32,
    /// The additional crashes for each sound answer.
    pub per_sound: u32,
}

impl Default for CrashCount {
    fn default() -> CrashCount {
        CrashCount { crashes: 4, per_sound: 4 }
    }
}

impl Judge for CrashCount {
    fn excess(&self, tally: PartTally, _background: Background) -> f64 {
        let needed = self.crashes + self.per_sound.saturating_mul(tally.sound);
        f64::from(tally.crashes) - f64::from(needed)
    }
}
