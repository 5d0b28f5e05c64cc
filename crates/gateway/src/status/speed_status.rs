//! The learned speed of one quantity of a server.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// A `SpeedStatus` is the learned speed of one quantity of a server.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpeedStatus {
    /// The speed as a multiple of what the service's model expects; a server of 0.5 takes twice as long.
    pub speed: f64,
    /// The number of samples behind it. With exchanged speeds they are those of all nodes, and older ones weigh less.
    pub samples: f64,
    /// The time since the last sample of the reporting nodes; none if the samples are those of other nodes, which don't
    /// exchange their age.
    #[serde(rename = "age_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub age: Option<Duration>,
}

impl SpeedStatus {
    /// Returns the speed of a server whose time is `factor` times what is expected; none without samples.
    pub fn new(factor: f64, samples: f64, age: Option<Duration>) -> Option<SpeedStatus> {
        let is_known = 0.0 < samples && factor.is_finite() && 0.0 < factor;
        is_known.then(|| SpeedStatus {
            speed: (1_000.0 / factor).round() / 1_000.0,
            samples: (samples * 10.0).round() / 10.0,
            age,
        })
    }

    /// Returns the speed over two nodes: the geometric mean by samples. Nodes that exchange speeds have the same samples, so
    /// that these are not added.
    pub fn merged(self, other: SpeedStatus, are_exchanged: bool) -> SpeedStatus {
        let sum = self.samples + other.samples;
        let log = self.speed.ln() * self.samples + other.speed.ln() * other.samples;
        let speed = if 0.0 < sum { (log / sum).exp() } else { self.speed };
        let samples = if are_exchanged { self.samples.max(other.samples) } else { sum };
        SpeedStatus {
            speed: (speed * 1_000.0).round() / 1_000.0,
            samples,
            age: [self.age, other.age].into_iter().flatten().min(),
        }
    }
}
