//! The weight of a node by what its VM can carry.

use serde::{Deserialize, Serialize};

/// Thousandths of a weight of 1.
const SCALE: f64 = 1_000.0;

/// A `CapacityWeight` is the share of callers that a node can serve, where 1 is a whole core with
/// the bandwidth and memory that it needs.
///
/// It is kept in thousandths, so that all nodes compare the same number. Another node may send any
/// number: one outside of [`MIN`](Self::MIN) to [`MAX`](Self::MAX) counts as 1, so that a false
/// weight takes neither all callers nor none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "f64", into = "f64")]
pub struct CapacityWeight(u32);

impl CapacityWeight {
    /// The lowest weight.
    pub const MIN: f64 = 0.01;
    /// The highest weight.
    pub const MAX: f64 = 100.0;

    /// Returns a weight; none if the value is out of range.
    pub fn new(value: f64) -> Option<CapacityWeight> {
        let in_range = (Self::MIN..=Self::MAX).contains(&value);
        in_range.then(|| CapacityWeight((value * SCALE).round() as u32))
    }

    /// Returns the weight as a number.
    pub fn value(self) -> f64 {
        f64::from(self.0) / SCALE
    }

    /// Returns the weight in powers of two, rounded down.
    ///
    /// Nodes are ranked by it instead of by the exact weight: relays should not all be chosen among
    /// VMs that are larger by a few percent.
    pub fn level(self) -> u32 {
        self.0.ilog2()
    }
}

impl Default for CapacityWeight {
    fn default() -> Self {
        CapacityWeight(SCALE as u32)
    }
}

impl From<f64> for CapacityWeight {
    fn from(value: f64) -> Self {
        CapacityWeight::new(value).unwrap_or_default()
    }
}

impl From<CapacityWeight> for f64 {
    fn from(weight: CapacityWeight) -> f64 {
        weight.value()
    }
}

/// Returns the lower median of the weights that are known, which is the weight of nodes that report
/// none; none if no weight is known.
pub fn median_weight(
    weights: impl IntoIterator<Item = Option<CapacityWeight>>,
) -> Option<CapacityWeight> {
    let mut known: Vec<CapacityWeight> = weights.into_iter().flatten().collect();
    if known.is_empty() {
        return None;
    }
    let middle = (known.len() - 1) / 2;
    Some(*known.select_nth_unstable(middle).1)
}
