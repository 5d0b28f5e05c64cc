//! Sufficient statistics of a server's speed.

/// The bound of one log ratio: a factor of 4. A longer time is a failure or an outage rather than a speed.
pub const MAX_LOG: f64 = 1.386;

/// `SpeedSums` are sums over samples of the log ratio of measured to expected time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedSums {
    /// The sum of the weights of the samples.
    pub weight: f64,
    /// The weighted sum of the log ratios.
    pub sum: f64,
    /// The weighted sum of their squares.
    pub squares: f64,
}

impl SpeedSums {
    /// Adds a sample.
    pub fn add(&mut self, log: f64, weight: f64) {
        self.weight += weight;
        self.sum += log * weight;
        self.squares += log * log * weight;
    }

    /// Returns the sums over the samples of both.
    pub fn plus(self, other: SpeedSums) -> SpeedSums {
        SpeedSums {
            weight: self.weight + other.weight,
            sum: self.sum + other.sum,
            squares: self.squares + other.squares,
        }
    }

    /// Returns the sums without the samples of `other`.
    pub fn minus(self, other: SpeedSums) -> SpeedSums {
        self.plus(other.scaled(-1.0))
    }

    /// Returns the sums with all weights multiplied by `factor`.
    pub fn scaled(self, factor: f64) -> SpeedSums {
        SpeedSums {
            weight: self.weight * factor,
            sum: self.sum * factor,
            squares: self.squares * factor,
        }
    }

    /// Returns the sums of which no other node may doubt that they are possible: the weight is at most `max_weight`, the mean
    /// within [`MAX_LOG`]. Sums that are not finite or have no weight become empty.
    pub fn bounded(self, max_weight: f64) -> SpeedSums {
        let is_finite = self.weight.is_finite() && self.sum.is_finite() && self.squares.is_finite();
        if !is_finite || self.weight <= 0.0 {
            return SpeedSums::default();
        }
        let weight = self.weight.min(max_weight);
        let mean = self.mean().clamp(-MAX_LOG, MAX_LOG);
        let square = (self.squares / self.weight).clamp(mean * mean, MAX_LOG * MAX_LOG);
        SpeedSums { weight, sum: mean * weight, squares: square * weight }
    }

    /// Returns the mean log ratio; 0 without samples.
    pub fn mean(self) -> f64 {
        if self.weight <= 0.0 { 0.0 } else { self.sum / self.weight }
    }

    /// Returns the weighted sum of squared deviations from the mean.
    pub fn scatter(self) -> f64 {
        (self.squares - self.mean() * self.sum).max(0.0)
    }
}
