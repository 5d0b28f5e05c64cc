//! How the speeds of a service's servers are distributed.

use crate::server_speed::SpeedSums;

/// The variance of single samples before there are any: a fifth either way.
const WITHIN: f64 = 0.04;
/// The weight of this variance, in samples.
const WITHIN_WEIGHT: f64 = 20.0;
/// The variance between servers before there are any: log speeds that are spread evenly over a factor of 2.3 have 0.06.
const BETWEEN: f64 = 0.06;
/// The weight of this variance, in servers.
const BETWEEN_WEIGHT: f64 = 4.0;
/// The bounds of the variance between servers. The lower one keeps a slow server visible among many equal ones.
const BETWEEN_BOUNDS: (f64, f64) = (0.005, 0.25);
/// The weight of the service's model in the mean, in servers.
const MODEL_WEIGHT: f64 = 2.0;
/// The minimum weight of a server that counts.
const MIN_WEIGHT: f64 = 2.0;

/// A `ServicePrior` is the distribution of the log ratios of a service's servers and of their samples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServicePrior {
    /// The mean log ratio of the servers.
    pub mean: f64,
    /// The variance between servers.
    pub between: f64,
    /// The variance of single samples of a server.
    pub within: f64,
}

impl Default for ServicePrior {
    fn default() -> Self {
        ServicePrior { mean: 0.0, between: BETWEEN, within: WITHIN }
    }
}

impl ServicePrior {
    /// Returns the distribution that follows from the sums of the servers, over all nodes.
    pub fn of(servers: impl Iterator<Item = SpeedSums> + Clone) -> ServicePrior {
        let known = servers.filter(|sums| MIN_WEIGHT <= sums.weight);
        let (mut scatter, mut freedom) = (WITHIN * WITHIN_WEIGHT, WITHIN_WEIGHT);
        let (mut count, mut sum) = (MODEL_WEIGHT, 0.0);
        for sums in known.clone() {
            scatter += sums.scatter();
            freedom += sums.weight - 1.0;
            count += 1.0;
            sum += sums.mean();
        }
        let within = scatter / freedom;
        let mean = sum / count;
        let mut between = BETWEEN * BETWEEN_WEIGHT;
        for sums in known {
            between += (sums.mean() - mean).powi(2) - within / sums.weight;
        }
        let between = between / (count - MODEL_WEIGHT + BETWEEN_WEIGHT);
        let between = between.clamp(BETWEEN_BOUNDS.0, BETWEEN_BOUNDS.1);
        ServicePrior { mean, between, within }
    }

    /// Returns the mean log ratio of a server with these samples, shrunk toward the service.
    pub fn shrunk(self, sums: SpeedSums) -> f64 {
        let model_weight = self.within / self.between;
        (sums.sum + self.mean * model_weight) / (sums.weight + model_weight)
    }
}
