//! The last samples of one quantity.

/// A `RecentSamples` holds the last `N` samples of a quantity.
///
/// What it tells are quantiles: a few samples that were disturbed by a queue, a retransmission or a
/// server that went away do not move them, as they would move a mean.
#[derive(Clone, Debug)]
pub struct RecentSamples<const N: usize> {
    samples: [f32; N],
    seen: u64,
}

impl<const N: usize> Default for RecentSamples<N> {
    fn default() -> Self {
        RecentSamples { samples: [0.0; N], seen: 0 }
    }
}

impl<const N: usize> RecentSamples<N> {
    /// Takes in a sample, in place of the oldest; what is no finite number is left out.
    pub fn note(&mut self, sample: f64) {
        if !sample.is_finite() {
            return;
        }
        self.samples[(self.seen % N as u64) as usize] = sample as f32;
        self.seen += 1;
    }

    /// Returns the number of samples that are held.
    pub fn len(&self) -> usize {
        usize::try_from(self.seen).unwrap_or(N).min(N)
    }

    /// Returns whether there was no sample yet.
    pub fn is_empty(&self) -> bool {
        self.seen == 0
    }

    /// Returns the number of samples ever taken in.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// Returns the sample below which the part `share` of those held lie; none without samples.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        let mut held = self.samples;
        let held = &mut held[..self.len()];
        let last = held.len().checked_sub(1)?;
        let index = (share * last as f64).round() as usize;
        let (_, sample, _) = held.select_nth_unstable_by(index.min(last), f32::total_cmp);
        Some(f64::from(*sample))
    }

    /// Returns the median of those held; none without samples.
    pub fn median(&self) -> Option<f64> {
        self.quantile(0.5)
    }
}
