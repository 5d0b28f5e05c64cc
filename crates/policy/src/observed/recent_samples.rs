//! A ring buffer of samples with quantiles.

/// A `RecentSamples` holds the last `N` samples of a quantity.
///
/// Its estimates are quantiles because these, unlike a mean, are not distorted by a few outliers
/// from a queue, a retransmission or a server failure.
#[derive(Clone, Debug)]
pub struct RecentSamples<const N: usize> {
    samples: [f32; N],
    total: u64,
}

impl<const N: usize> Default for RecentSamples<N> {
    fn default() -> Self {
        RecentSamples { samples: [0.0; N], total: 0 }
    }
}

impl<const N: usize> RecentSamples<N> {
    /// Adds a sample, which replaces the oldest one; non-finite values are ignored.
    pub fn note(&mut self, sample: f64) {
        if !sample.is_finite() {
            return;
        }
        self.samples[(self.total % N as u64) as usize] = sample as f32;
        self.total += 1;
    }

    /// Returns the number of samples that are kept.
    pub fn len(&self) -> usize {
        usize::try_from(self.total).unwrap_or(N).min(N)
    }

    /// Returns whether there are no samples.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    /// Returns the total number of samples recorded.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the quantile `q` of the kept samples, for example 0.5 for the median; none without
    /// samples.
    pub fn quantile(&self, q: f64) -> Option<f64> {
        let mut samples = self.samples;
        let samples = &mut samples[..self.len()];
        let last = samples.len().checked_sub(1)?;
        let index = (q * last as f64).round() as usize;
        let (_, sample, _) = samples.select_nth_unstable_by(index.min(last), f32::total_cmp);
        Some(f64::from(*sample))
    }

    /// Returns the median of the kept samples; none without samples.
    pub fn median(&self) -> Option<f64> {
        self.quantile(0.5)
    }
}
