//! Judgement by a likelihood ratio.

use super::{Background, Judge, PartTally};

/// A `LikelihoodRatio` compares how likely the evidence is if the part crashes servers and if it does not.
///
/// Under a lost zone or falling servers, sound requests are often broken off as well, so more crashes are needed then.
#[derive(Clone, Copy, Debug)]
pub struct LikelihoodRatio {
    /// The accepted probability that any sound part is blamed.
    pub false_blame: f64,
    /// The probability that an answer to a prompt with a part that crashes servers comes to its end.
    pub survival: f64,
    /// The least and the greatest share of answers that are broken off without such a part.
    pub crash_shares: (f64, f64),
    /// The share of crashes shortly after the first bytes of an answer, of those under a part that causes them and of others.
    pub just_begun: (f64, f64),
    /// The least number of crashes.
    pub min_crashes: u32,
}

impl Default for LikelihoodRatio {
    fn default() -> LikelihoodRatio {
        LikelihoodRatio {
            false_blame: 0.001,
            survival: 0.02,
            crash_shares: (0.02, 0.8),
            just_begun: (0.9, 0.35),
            min_crashes: 3,
        }
    }
}

impl Judge for LikelihoodRatio {
    fn excess(&self, tally: PartTally, background: Background) -> f64 {
        if tally.crashes < self.min_crashes {
            return f64::NEG_INFINITY;
        }
        let (least, greatest) = self.crash_shares;
        let share = background.crash_share.clamp(least, greatest);
        let by_crashes = f64::from(tally.crashes) * ((1.0 - self.survival) / share).ln();
        let (caused, beside) = self.just_begun;
        let later = f64::from(tally.crashes.saturating_sub(tally.just_begun));
        let by_time = f64::from(tally.just_begun) * (caused / beside).ln()
            + later * ((1.0 - caused) / (1.0 - beside)).ln();
        let by_sound = f64::from(tally.sound) * (self.survival / (1.0 - share)).ln();
        // Of many sound parts, some are beside each crash by chance.
        let needed = (background.suspects.max(1) as f64 / self.false_blame).ln();
        by_crashes + by_time + by_sound - needed
    }
}
